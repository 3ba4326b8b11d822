/// @file Implementation of the administrative server on POCO's HTTP server.

#include "LibTelemetry/AdminServer.h"

#include "LibNetwork/Listener.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <sstream>

namespace Telemetry {

namespace {

constexpr std::size_t MaximumBodyBytes = 1 << 20;
constexpr int ServerThreads = 4;
constexpr int MaximumQueued = 32;

/// Reads at most one byte over the limit, so that the caller can detect an oversized body.
std::string readBounded(std::istream &stream)
{
    std::string body(MaximumBodyBytes + 1, '\0');
    stream.read(body.data(), static_cast<std::streamsize>(body.size()));
    body.resize(static_cast<std::size_t>(stream.gcount()));
    return body;
}

class AdminHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit AdminHandler(const AdminServer &server)
        : m_server(server)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const Poco::URI uri(request.getURI());
        const AdminRequest adminRequest{request.getMethod(), uri.getPath(), uri.getRawQuery(), readBounded(request.stream())};
        const AdminAnswer answer =
            adminRequest.m_body.size() > MaximumBodyBytes ? AdminAnswer{413, "text/plain", "body too large\n"} : m_server.answer(adminRequest);
        response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(answer.m_status));
        response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
        response.setContentType(answer.m_contentType);
        response.sendBuffer(answer.m_body.data(), answer.m_body.size());
    }

private:
    const AdminServer &m_server;
};

class AdminHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit AdminHandlerFactory(const AdminServer &server)
        : m_server(server)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new AdminHandler(m_server);
    }

private:
    const AdminServer &m_server;
};

}

std::string toJsonText(const Poco::JSON::Object::Ptr &object)
{
    std::ostringstream text;
    object->stringify(text);
    return text.str();
}

AdminServer::AdminServer(Core::Address listen, Metrics &metrics)
    : m_listen(std::move(listen))
    , m_metrics(metrics)
{
}

AdminServer::~AdminServer()
{
    stop();
}

void AdminServer::addDumpSection(const std::string &name, Section section)
{
    m_sections[name] = std::move(section);
}

void AdminServer::addPage(const std::string &path, Page page)
{
    m_pages[path] = std::move(page);
}

Core::Result<void> AdminServer::start()
{
    try {
        const Poco::Net::ServerSocket socket = Network::listenOn(m_listen, MaximumQueued);
        Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(ServerThreads);
        parameters->setMaxQueued(MaximumQueued);
        parameters->setTimeout(Poco::Timespan(10, 0));
        parameters->setKeepAlive(false);
        m_server = std::make_unique<Poco::Net::HTTPServer>(new AdminHandlerFactory(*this), socket, parameters);
        m_server->start();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "listen for administration", m_listen.toString(), exception.displayText());
    }
    return Core::success();
}

void AdminServer::stop()
{
    if (m_server) {
        m_server->stopAll(true);
        m_server.reset();
    }
}

AdminAnswer AdminServer::answer(const AdminRequest &request) const
{
    if (request.m_path == "/metrics") {
        return AdminAnswer{200, "text/plain; version=0.0.4", m_metrics.prometheusText()};
    }
    if (request.m_path == "/dump") {
        return AdminAnswer{200, "application/json", dump()};
    }
    if (request.m_path == "/healthz") {
        return AdminAnswer{200, "text/plain", "ok\n"};
    }
    const std::map<std::string, Page>::const_iterator it = m_pages.find(request.m_path);
    if (it == m_pages.end()) {
        return AdminAnswer{404, "text/plain", "no such page\n"};
    }
    return it->second(request);
}

std::string AdminServer::dump() const
{
    Poco::JSON::Object::Ptr root = new Poco::JSON::Object;
    for (const std::pair<const std::string, Section> &section : m_sections) {
        root->set(section.first, section.second());
    }
    return toJsonText(root);
}

}
