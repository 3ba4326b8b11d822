/// @file Implementation of the stand-ins' HTTP server on POCO's.

#include "LibStandIn/HttpServer.h"

#include "LibJson/Json.h"
#include "LibNetwork/Listener.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <thread>

namespace StandIn {

namespace {

constexpr int MinimumThreads = 2;
constexpr int MaximumQueuedConnections = 4096;
constexpr int ListenBacklog = 512;
constexpr int ThreadIdleSeconds = 10;
constexpr std::size_t MaximumStopThreads = 64;

class FunctionHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit FunctionHandler(const HttpHandler &handler)
        : m_handler(handler)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        try {
            m_handler(request, response);
        } catch (const Poco::Exception &) {
            // The client closed the connection. Handlers that record this have done so already.
            response.setKeepAlive(false);
        }
    }

private:
    const HttpHandler &m_handler;
};

class FunctionHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit FunctionHandlerFactory(HttpHandler handler)
        : m_handler(std::move(handler))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new FunctionHandler(m_handler);
    }

private:
    HttpHandler m_handler;
};

/// Disables keep-alive, because an idle connection would occupy a thread of the pool.
Poco::Net::HTTPServerParams::Ptr makeParameters(int maximumThreads)
{
    Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
    parameters->setKeepAlive(false);
    parameters->setMaxThreads(maximumThreads);
    parameters->setMaxQueued(MaximumQueuedConnections);
    return parameters;
}

}

HttpServer::HttpServer(int maximumThreads)
    : m_maximumThreads(maximumThreads)
    , m_pool(MinimumThreads, std::max(maximumThreads, MinimumThreads), ThreadIdleSeconds)
{
}

HttpServer::~HttpServer()
{
    stop();
}

Core::Result<void> HttpServer::listen(const Core::Address &address, HttpHandler handler)
{
    try {
        const Poco::Net::ServerSocket socket = Network::listenOn(address, ListenBacklog);
        Poco::Net::HTTPRequestHandlerFactory::Ptr factory = new FunctionHandlerFactory(std::move(handler));
        m_servers.push_back(std::make_unique<Poco::Net::HTTPServer>(factory, m_pool, socket, makeParameters(m_maximumThreads)));
        m_servers.back()->start();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "listen", address.toString(), exception.displayText());
    }
    return Core::success();
}

void HttpServer::stop()
{
    // Each server waits until its accepting thread polls again. Stopping hundreds of servers one by one would take half a minute.
    std::vector<std::thread> stoppers;
    for (std::size_t first = 0; first < std::min(m_servers.size(), MaximumStopThreads); ++first) {
        stoppers.emplace_back([this, first] {
            for (std::size_t index = first; index < m_servers.size(); index += MaximumStopThreads) {
                m_servers[index]->stopAll(true);
            }
        });
    }
    for (std::thread &stopper : stoppers) {
        stopper.join();
    }
    m_pool.joinAll();
    m_servers.clear();
}

void sendAnswer(Poco::Net::HTTPServerResponse &response, int status, const std::string &contentType, const std::string &body)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
    response.setContentType(contentType);
    response.sendBuffer(body.data(), body.size());
}

void sendError(Poco::Net::HTTPServerResponse &response, int status, const Core::Error &error)
{
    sendAnswer(response, status, "application/json", Json::errorLine(error));
}

Core::Result<std::string> readBody(Poco::Net::HTTPServerRequest &request, std::size_t limit)
{
    std::string body;
    std::array<char, 16384> buffer;
    std::istream &stream = request.stream();
    while (stream.read(buffer.data(), buffer.size()), stream.gcount() > 0) {
        body.append(buffer.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read body", "", "the body is larger than " + std::to_string(limit) + " bytes");
        }
    }
    return body;
}

void discardBody(Poco::Net::HTTPServerRequest &request)
{
    std::array<char, 16384> buffer;
    while (request.stream().read(buffer.data(), buffer.size()), request.stream().gcount() > 0) { }
}

void dropConnection(Poco::Net::HTTPServerRequest &request)
{
    Poco::Net::HTTPServerRequestImpl *implementation = dynamic_cast<Poco::Net::HTTPServerRequestImpl *>(&request);
    if (!implementation) {
        return;
    }
    try {
        implementation->socket().shutdown();
    } catch (const Poco::Exception &) {
        // The connection is closed already.
    }
}

}
