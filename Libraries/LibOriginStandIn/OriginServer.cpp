/// @file Implementation of the origin's HTTP server on POCO's HTTP classes, with one thread per connection.

#include "LibOriginStandIn/OriginServer.h"

#include "LibNetwork/Listener.h"

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerParams.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/URI.h>
#include <charconv>
#include <thread>

namespace StandIn {

namespace {

constexpr int MaximumConnections = 4096;
constexpr int IdleSeconds = 15;
constexpr Core::Duration AcceptPollInterval{20};
constexpr std::size_t MaximumFaultsBytes = 64 << 10;
constexpr std::size_t WriteBytes = 16 << 10;
constexpr std::size_t DataPathSegments = 4;

Poco::Timespan toTimespan(Core::Duration duration)
{
    return Poco::Timespan(duration.count() * Poco::Timespan::MILLISECONDS);
}

struct ByteRange
{
    std::uint64_t m_first = 0;
    std::uint64_t m_last = 0; ///< Inclusive, as in HTTP.
};

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

/// Parses "bytes=A-B". Returns empty for any other form and for a range that exceeds the size of the object.
std::optional<ByteRange> parseRange(std::string_view header, std::uint64_t size)
{
    constexpr std::string_view prefix = "bytes=";
    const std::size_t dash = header.find('-');
    if (!header.starts_with(prefix) || dash == std::string_view::npos) {
        return std::nullopt;
    }
    const std::optional<std::uint64_t> first = parseNumber(header.substr(prefix.size(), dash - prefix.size()));
    const std::optional<std::uint64_t> last = parseNumber(header.substr(dash + 1));
    if (!first || !last || *first > *last || *last >= size) {
        return std::nullopt;
    }
    return ByteRange{*first, *last};
}

void answerEmpty(Poco::Net::HTTPServerResponse &response, Poco::Net::HTTPResponse::HTTPStatus status)
{
    response.setStatusAndReason(status);
    response.setContentLength(0);
    response.send();
}

void answerText(Poco::Net::HTTPServerResponse &response, const std::string &text, const std::string &type)
{
    response.setContentType(type);
    response.sendBuffer(text.data(), text.size());
}

class OriginHandler : public Poco::Net::HTTPRequestHandler
{
public:
    explicit OriginHandler(OriginStore &store)
        : m_store(store)
    {
    }

    void handleRequest(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response) override
    {
        const Poco::URI uri(request.getURI());
        const std::string &path = uri.getPath();
        if (path == "/healthz") {
            answerText(response, "ok\n", "text/plain");
            return;
        }
        if (path == "/journal") {
            answerText(response, m_store.journalJson(), "application/json");
            return;
        }
        if (path == "/faults") {
            handleFaults(request, response);
            return;
        }
        std::vector<std::string> segments;
        uri.getPathSegments(segments);
        if (segments.size() == DataPathSegments && segments[0] == "weights" && segments[3] == "manifest") {
            handleManifest(segments[1], segments[2], response);
            return;
        }
        if (segments.size() == DataPathSegments && segments[0] == "weights" && segments[3] == "data") {
            handleData(segments[1], segments[2], request.get("Range", ""), response);
            return;
        }
        answerEmpty(response, Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
    }

private:
    void handleFaults(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
    {
        if (request.getMethod() == Poco::Net::HTTPRequest::HTTP_POST) {
            std::string body(MaximumFaultsBytes, '\0');
            request.stream().read(body.data(), static_cast<std::streamsize>(body.size()));
            body.resize(static_cast<std::size_t>(request.stream().gcount()));
            const Core::Result<void> set = m_store.setFaults(body);
            if (!set) {
                response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_BAD_REQUEST);
                answerText(response, set.error().message(), "text/plain");
                return;
            }
        }
        answerText(response, m_store.faultsJson(), "application/json");
    }

    /// Applies the fault "slow_ms" and answers 503 if the origin is down, or 404 if the object does not exist. Returns true if the
    /// request was answered.
    bool answerIfUnavailable(const DataAnswer &answer, Poco::Net::HTTPServerResponse &response)
    {
        if (answer.m_slowMs > 0) {
            std::this_thread::sleep_for(Core::Duration(answer.m_slowMs));
        }
        if (answer.m_down) {
            answerEmpty(response, Poco::Net::HTTPResponse::HTTP_SERVICE_UNAVAILABLE);
            return true;
        }
        if (!answer.m_object) {
            answerEmpty(response, Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
            return true;
        }
        return false;
    }

    void handleManifest(const std::string &model, const std::string &version, Poco::Net::HTTPServerResponse &response)
    {
        const DataAnswer answer = m_store.manifest(model, version);
        if (!answerIfUnavailable(answer, response)) {
            answerText(response, answer.m_object->m_encodedManifest, "application/msgpack");
        }
    }

    void handleData(const std::string &model, const std::string &version, const std::string &rangeHeader, Poco::Net::HTTPServerResponse &response)
    {
        const DataAnswer answer = m_store.data(model, version);
        if (answerIfUnavailable(answer, response)) {
            return;
        }
        const std::string &content = answer.m_object->m_content;
        const std::optional<ByteRange> range = parseRange(rangeHeader, content.size());
        if (!range) {
            answerEmpty(response, Poco::Net::HTTPResponse::HTTP_REQUESTED_RANGE_NOT_SATISFIABLE);
            return;
        }
        std::string_view bytes = std::string_view(content).substr(range->m_first, range->m_last - range->m_first + 1);
        response.setStatusAndReason(Poco::Net::HTTPResponse::HTTP_PARTIAL_CONTENT);
        response.setContentLength64(static_cast<Poco::Int64>(bytes.size()));
        response.setContentType("application/octet-stream");
        response.set("Content-Range", "bytes " + std::to_string(range->m_first) + "-" + std::to_string(range->m_last) + "/" + std::to_string(content.size()));
        if (answer.m_truncate) {
            // Sends half of the announced bytes and then closes the connection.
            bytes = bytes.substr(0, bytes.size() / 2);
            response.setKeepAlive(false);
        }
        std::ostream &stream = response.send();
        if (!answer.m_corrupt) {
            write(stream, bytes);
            return;
        }
        std::string damaged(bytes);
        damaged[damaged.size() / 2] ^= 1;
        write(stream, damaged);
    }

    /// Writes the bytes at the configured rate.
    void write(std::ostream &stream, std::string_view bytes)
    {
        while (!bytes.empty() && stream.good()) {
            const std::string_view part = bytes.substr(0, WriteBytes);
            const Core::Duration wait = m_store.recordSent(part.size(), Core::Clock::now());
            if (wait.count() > 0) {
                std::this_thread::sleep_for(wait);
            }
            stream.write(part.data(), static_cast<std::streamsize>(part.size()));
            bytes.remove_prefix(part.size());
        }
        stream.flush();
    }

    OriginStore &m_store;
};

class OriginHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    explicit OriginHandlerFactory(OriginStore &store)
        : m_store(store)
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const Poco::Net::HTTPServerRequest &) override
    {
        return new OriginHandler(m_store);
    }

private:
    OriginStore &m_store;
};

}

OriginServer::OriginServer(OriginStore &store)
    : m_store(store)
{
}

OriginServer::~OriginServer()
{
    m_running = false;
    if (m_acceptor.joinable()) {
        m_acceptor.join();
    }
    while (m_connections > 0) {
        std::this_thread::sleep_for(AcceptPollInterval);
    }
}

Core::Result<void> OriginServer::start()
{
    const Core::Address &listen = m_store.settings().m_listen;
    try {
        m_listener.emplace(Network::listenOn(listen, MaximumConnections));
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "listen", listen.toString(), exception.displayText());
    }
    m_running = true;
    m_acceptor = std::thread([this] { run(); });
    return Core::success();
}

void OriginServer::run()
{
    const Poco::Net::HTTPRequestHandlerFactory::Ptr factory(new OriginHandlerFactory(m_store));
    Poco::Net::HTTPServerParams::Ptr settings(new Poco::Net::HTTPServerParams);
    settings->setKeepAlive(true);
    settings->setMaxKeepAliveRequests(0);
    settings->setKeepAliveTimeout(Poco::Timespan(IdleSeconds, 0));
    while (m_running) {
        if (!m_listener->poll(toTimespan(AcceptPollInterval), Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        const Poco::Net::StreamSocket socket = m_listener->acceptConnection();
        if (m_connections >= MaximumConnections) {
            continue;
        }
        ++m_connections;
        std::thread([this, socket, settings, factory] {
            try {
                Poco::Net::HTTPServerConnection connection(socket, settings, factory);
                connection.run();
            } catch (const Poco::Exception &) {
                // The peer closed the connection.
            }
            --m_connections;
        }).detach();
    }
}

}
