/// @file HTTP handlers for callers' requests.

#include "LibEntry/CallerServer.h"
#include "LibEntry/ConnectionGuard.h"
#include "LibEntry/Generation.h"
#include "LibEntry/ServiceCall.h"
#include "LibNetwork/Listener.h"
#include "LibTelemetry/AdminServer.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSONString.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServerConnection.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/ThreadPool.h>
#include <Poco/URI.h>
#include <glog/logging.h>

namespace Entry {

namespace {

/// Retry time for a call whose idempotency key has an empty epoch because no entry could read the claims in the log. Once the log is back, an entry reads
/// all claims within a second, and callers get an epoch again.
constexpr Core::Duration MissingEpochRetryAfter{1000};

/// Retry time for a request that is refused because the bodies of others fill the memory. Most requests end within a second.
constexpr Core::Duration MemoryRetryAfter{1000};

constexpr const char *JsonType = "application/json";
constexpr const char *LinesType = "application/x-ndjson";
constexpr std::size_t ReadBytes = 16384;
/// Bytes of a refused body that are read and discarded.
constexpr std::size_t MaximumDiscarded = 64 << 20;
/// Buffered bytes of an answer above which they are sent at once.
constexpr std::size_t FlushBytes = 8192;
constexpr int ListenBacklog = 1024;
constexpr int ThreadIdleSeconds = 60;
constexpr int MinimumThreads = 2;

using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

Poco::Net::StreamSocket &socketOf(HTTPServerRequest &request)
{
    return static_cast<Poco::Net::HTTPServerRequestImpl &>(request).socket();
}

/// True if the caller has closed its end or the connection is broken.
bool isClosed(Poco::Net::StreamSocket &socket)
{
    try {
        return socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) && socket.available() == 0;
    } catch (const Poco::Exception &) {
        return true;
    }
}

void setStatus(HTTPServerResponse &response, int status)
{
    response.setStatus(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setReason(Poco::Net::HTTPResponse::getReasonForStatus(response.getStatus()));
}

void sendError(HTTPServerResponse &response, const CallerError &error)
{
    setStatus(response, httpStatus(error.m_code));
    response.setContentType(JsonType);
    if (error.m_retryAfter) {
        response.set("Retry-After", std::to_string(retryAfterSeconds(*error.m_retryAfter)));
    }
    const std::string body = callerErrorJson(error) + "\n";
    response.sendBuffer(body.data(), body.size());
}

CallerError inputError(const Core::Error &error)
{
    if (error.m_code == Core::ErrorCode::Unavailable) {
        return CallerError{CallerCode::NotRun, error, MissingEpochRetryAfter, {}};
    }
    return CallerError{CallerCode::InvalidInput, error, std::nullopt, {}};
}

/// Reads a body of at most @p limit bytes, for which @p memory is enlarged before they are read. Fails with Overloaded if it is longer, with Unavailable if no
/// memory is left for it, with InvalidInput if it is shorter than announced.
Core::Result<std::string> readBody(HTTPServerRequest &request, std::size_t limit, Core::ByteReservation &memory)
{
    const Core::Error tooLarge =
        Core::makeError(Core::ErrorCode::Overloaded, "read request", "", "the body is larger than " + std::to_string(limit) + " bytes");
    const bool hasLength = request.getContentLength64() != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH;
    if (hasLength && static_cast<std::uint64_t>(request.getContentLength64()) > limit) {
        return tooLarge;
    }
    const Core::Error noMemory = Core::makeError(Core::ErrorCode::Unavailable, "read request", "", "the memory for requests is in use");
    const std::size_t announced = hasLength ? static_cast<std::size_t>(request.getContentLength64()) : 0;
    if (!memory.tryResize(ReadBytes + announced)) {
        return noMemory;
    }
    std::string body;
    body.reserve(announced);
    std::string part(ReadBytes, '\0');
    std::istream &stream = request.stream();
    while (stream.good()) {
        stream.read(part.data(), static_cast<std::streamsize>(part.size()));
        const std::size_t received = body.size() + static_cast<std::size_t>(stream.gcount());
        if (received > body.capacity()) {
            const std::size_t capacity = std::max(received, 2 * body.capacity());
            if (!memory.tryResize(ReadBytes + capacity)) {
                return noMemory;
            }
            body.reserve(capacity);
        }
        body.append(part.data(), static_cast<std::size_t>(stream.gcount()));
        if (body.size() > limit) {
            return tooLarge;
        }
    }
    if (hasLength && body.size() != static_cast<std::size_t>(request.getContentLength64())) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read request", "", "the body is shorter than its announced length");
    }
    return body;
}

CallerError bodyError(const Core::Error &error)
{
    switch (error.m_code) {
    case Core::ErrorCode::Overloaded:
        return CallerError{CallerCode::TooLarge, error, std::nullopt, {}};
    case Core::ErrorCode::Unavailable:
        return CallerError{CallerCode::NotRun, error, MemoryRetryAfter, {}};
    default:
        return inputError(error);
    }
}

/// Reads and discards the rest of a body. Closing a connection with unread bytes resets it, and a caller that is still sending would get a connection
/// error instead of the refusal. The time is bounded by the guard's request timeout.
void discardBody(HTTPServerRequest &request)
{
    std::string part(ReadBytes, '\0');
    std::size_t discarded = 0;
    while (discarded < MaximumDiscarded && request.stream().read(part.data(), static_cast<std::streamsize>(part.size()))) {
        discarded += part.size();
    }
}

RequestHeaders headersOf(const HTTPServerRequest &request)
{
    RequestHeaders headers;
    headers.m_account = request.get("Oriolerail-Account", "");
    headers.m_key = request.get("Idempotency-Key", "");
    headers.m_timeout = request.get("Oriolerail-Timeout-Ms", "");
    headers.m_priority = request.get("Oriolerail-Priority", "");
    return headers;
}

/// Writes a generated answer as JSON lines in HTTP chunks.
class LineSink : public AnswerSink
{
public:
    LineSink(HTTPServerRequest &request, HTTPServerResponse &response)
        : m_socket(socketOf(request))
        , m_response(response)
    {
    }

    bool onVersion(const ServedVersion &version) override
    {
        m_digest = version.m_digest;
        m_response.setChunkedTransferEncoding(true);
        m_response.setContentType(LinesType);
        m_stream = &m_response.send();
        m_lines += R"({"version":)" + Poco::toJSON(version.m_version) + R"(,"digest":)" + Poco::toJSON(version.m_digest) + "}\n";
        return true;
    }

    bool onToken(const std::string &token) override
    {
        m_lines += R"({"token":)" + Poco::toJSON(token) + "}\n";
        return m_lines.size() < FlushBytes || flush();
    }

    bool onEnd(std::uint64_t tokens, const std::string &digest) override
    {
        m_lines +=
            R"({"end":true,"tokens":)" + std::to_string(tokens) + R"(,"digest":)" + Poco::toJSON(m_digest) + R"(,"sha256":)" + Poco::toJSON(digest) + "}\n";
        return flush();
    }

    bool isDisconnected() override
    {
        return isClosed(m_socket);
    }

    /// True once the status line has been sent, after which an error can only be reported as a line.
    bool hasStarted() const
    {
        return m_stream != nullptr;
    }

    void writeError(const CallerError &error)
    {
        m_lines += callerErrorJson(error) + "\n";
        flush();
    }

    /// Sends all buffered lines in one chunk, since a write for each token would be most of the cost of an answer.
    bool flush() override
    {
        if (m_lines.empty()) {
            return true;
        }
        m_stream->write(m_lines.data(), static_cast<std::streamsize>(m_lines.size()));
        m_stream->flush();
        m_lines.clear();
        return m_stream->good();
    }

private:
    Poco::Net::StreamSocket &m_socket;
    HTTPServerResponse &m_response;
    std::ostream *m_stream = nullptr; ///< Owned by the response.
    std::string m_digest; ///< Digest of the version that the answer comes from.
    std::string m_lines; ///< Buffered lines; less than FlushBytes bytes.
};

/// Counts a request as open during its lifetime.
class OpenRequest
{
public:
    explicit OpenRequest(Frontend &frontend)
        : m_frontend(frontend)
    {
        m_frontend.m_openRequests += 1;
    }

    ~OpenRequest()
    {
        m_frontend.m_openRequests -= 1;
    }

    OpenRequest(const OpenRequest &) = delete;
    OpenRequest &operator=(const OpenRequest &) = delete;

private:
    Frontend &m_frontend;
};

class CallerHandler : public Poco::Net::HTTPRequestHandler
{
public:
    CallerHandler(Frontend &frontend, ConnectionGuard &guard)
        : m_frontend(frontend)
        , m_guard(guard)
    {
    }

    void handleRequest(HTTPServerRequest &request, HTTPServerResponse &response) override
    {
        const OpenRequest open(m_frontend);
        if (m_frontend.m_state != EntryState::Serving) {
            response.setKeepAlive(false); // The caller connects elsewhere before this entry ends its connections.
        }
        try {
            serve(request, response);
        } catch (const Poco::Exception &exception) {
            // The caller's connection failed while the answer was sent, so the error cannot be reported to it.
            VLOG(1) << "connection to caller failed: " << exception.displayText();
            response.setKeepAlive(false);
        }
        m_guard.beginReceiving(socketOf(request));
    }

private:
    void serve(HTTPServerRequest &request, HTTPServerResponse &response)
    {
        const Core::Instant arrival = Core::Clock::now();
        Core::ByteReservation memory(m_frontend.m_requestMemory);
        const Core::Result<std::string> body = readBody(request, m_frontend.m_settings->m_callers.m_maximumBodyBytes, memory);
        if (!body) {
            if (body.error().m_code == Core::ErrorCode::Unavailable) {
                recordMemoryShortage(m_frontend, MemoryUse::Request, body.error());
            }
            response.setKeepAlive(false);
            sendError(response, bodyError(body.error()));
            discardBody(request);
            return;
        }
        m_guard.endReceiving(socketOf(request));
        std::string path;
        try {
            path = Poco::URI(request.getURI()).getPath();
        } catch (const Poco::SyntaxException &exception) {
            sendError(response, inputError(Core::makeError(Core::ErrorCode::InvalidInput, "read request", "", exception.displayText())));
            return;
        }
        if (path == "/v1/addresses" && request.getMethod() == "GET") {
            sendAddresses(response);
        } else if (path == "/v1/generate" && request.getMethod() == "POST") {
            handleGenerate(request, response, body.value(), arrival);
        } else if (path.starts_with("/v1/call/") && request.getMethod() == "POST") {
            handleCall(request, response, path, body.value(), arrival);
        } else {
            const Core::Error error = Core::makeError(Core::ErrorCode::NotFound, "read request", "", "no such method and path");
            sendError(response, CallerError{CallerCode::NotFound, error, std::nullopt, {}});
        }
    }

    void sendAddresses(HTTPServerResponse &response) const
    {
        Poco::JSON::Array::Ptr addresses = new Poco::JSON::Array;
        for (const std::string &address : callerAddresses(m_frontend, m_frontend.m_settings->m_addressesPerAnswer)) {
            addresses->add(address);
        }
        Poco::JSON::Object::Ptr answer = new Poco::JSON::Object;
        answer->set("addresses", addresses);
        answer->set("lifetime_ms", m_frontend.m_settings->m_addressLifetime.count());
        answer->set("key_epoch", m_frontend.m_claims->keyEpoch());
        const std::string text = Telemetry::toJsonText(answer);
        response.setContentType(JsonType);
        response.sendBuffer(text.data(), text.size());
    }

    std::optional<CallerError> refusal(Core::Instant deadline) const
    {
        const std::optional<CallerError> leaving = refusalWhileLeaving(m_frontend, deadline);
        return leaving ? leaving : refusalUnlessReady(m_frontend);
    }

    void handleGenerate(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &body, Core::Instant arrival)
    {
        const RequestHeaders headers = headersOf(request);
        const Core::Result<GenerateRequest> parsed = parseGenerate(body, headers, m_frontend.m_settings->m_callers);
        const Core::Result<Core::Duration> timeout = parseTimeout(headers, m_frontend.m_settings->m_callers);
        if (!parsed || !timeout) {
            sendError(response, inputError(!parsed ? parsed.error() : timeout.error()));
            return;
        }
        if (const std::optional<CallerError> refused = refusal(arrival + timeout.value())) {
            sendError(response, *refused);
            return;
        }
        LineSink sink(request, response);
        const std::optional<CallerError> failed = generate(m_frontend, parsed.value(), arrival + timeout.value(), sink);
        if (!failed) {
            if (!sink.hasStarted()) {
                response.setKeepAlive(false);
            }
            return;
        }
        if (sink.hasStarted()) {
            sink.writeError(*failed);
            response.setKeepAlive(false);
            return;
        }
        sendError(response, withOtherEntries(m_frontend, *failed));
    }

    void handleCall(HTTPServerRequest &request, HTTPServerResponse &response, const std::string &path, const std::string &body, Core::Instant arrival)
    {
        const RequestHeaders headers = headersOf(request);
        const Core::Result<CallRequest> parsed = parseCall(path, body, headers);
        const Core::Result<Core::Duration> timeout = parseTimeout(headers, m_frontend.m_settings->m_callers);
        if (!parsed || !timeout) {
            sendError(response, inputError(!parsed ? parsed.error() : timeout.error()));
            return;
        }
        if (const std::optional<CallerError> refused = refusal(arrival + timeout.value())) {
            sendError(response, *refused);
            return;
        }
        Poco::Net::StreamSocket &socket = socketOf(request);
        Core::ByteReservation answerMemory(m_frontend.m_answerMemory);
        const ServiceResult result = callService(
            m_frontend, parsed.value(), arrival + timeout.value(), [&socket] { return isClosed(socket); }, answerMemory);
        if (const CallerError *error = std::get_if<CallerError>(&result)) {
            sendError(response, withOtherEntries(m_frontend, *error));
            return;
        }
        const ServiceAnswer &answer = std::get<ServiceAnswer>(result);
        setStatus(response, answer.m_status);
        response.setContentType(JsonType);
        response.sendBuffer(answer.m_body.data(), answer.m_body.size());
    }

    Frontend &m_frontend;
    ConnectionGuard &m_guard;
};

class CallerHandlerFactory : public Poco::Net::HTTPRequestHandlerFactory
{
public:
    CallerHandlerFactory(Frontend &frontend, std::shared_ptr<ConnectionGuard> guard)
        : m_frontend(frontend)
        , m_guard(std::move(guard))
    {
    }

    Poco::Net::HTTPRequestHandler *createRequestHandler(const HTTPServerRequest &) override
    {
        return new CallerHandler(m_frontend, *m_guard);
    }

private:
    Frontend &m_frontend;
    std::shared_ptr<ConnectionGuard> m_guard;
};

/// Accepts a connection, or refuses it at once with a retry time.
class GuardFilter : public Poco::Net::TCPServerConnectionFilter
{
public:
    explicit GuardFilter(std::shared_ptr<ConnectionGuard> guard)
        : m_guard(std::move(guard))
    {
    }

    bool accept(const Poco::Net::StreamSocket &socket) override
    {
        if (m_guard->tryAcquire()) {
            m_guard->beginReceiving(socket);
            return true;
        }
        refuse(socket);
        return false;
    }

private:
    void refuse(Poco::Net::StreamSocket socket)
    {
        const CallerError error{
            CallerCode::NotRun, Core::makeError(Core::ErrorCode::Overloaded, "accept connection", "", "too many connections"), Core::Duration(1000), {}};
        const std::string body = callerErrorJson(error) + "\n";
        const std::string answer =
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        try {
            // The empty send buffer of a new socket takes this much without blocking.
            socket.sendBytes(answer.data(), static_cast<int>(answer.size()));
            socket.shutdownSend();
            m_guard->discardUntilClosed(socket);
        } catch (const Poco::Exception &) {
            // The caller has already disconnected.
        }
    }

    std::shared_ptr<ConnectionGuard> m_guard;
};

/// A connection that is counted by the guard during its lifetime.
class GuardedConnection : public Poco::Net::HTTPServerConnection
{
public:
    GuardedConnection(const Poco::Net::StreamSocket &socket,
                      const Poco::Net::HTTPServerParams::Ptr &parameters,
                      const Poco::Net::HTTPRequestHandlerFactory::Ptr &factory,
                      std::shared_ptr<ConnectionGuard> guard)
        : HTTPServerConnection(socket, parameters, factory)
        , m_guard(std::move(guard))
    {
    }

    ~GuardedConnection() override
    {
        m_guard->endReceiving(socket());
        m_guard->release();
    }

private:
    std::shared_ptr<ConnectionGuard> m_guard;
};

class GuardedConnectionFactory : public Poco::Net::TCPServerConnectionFactory
{
public:
    GuardedConnectionFactory(Poco::Net::HTTPServerParams::Ptr parameters,
                             Poco::Net::HTTPRequestHandlerFactory::Ptr factory,
                             std::shared_ptr<ConnectionGuard> guard)
        : m_parameters(std::move(parameters))
        , m_factory(std::move(factory))
        , m_guard(std::move(guard))
    {
    }

    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new GuardedConnection(socket, m_parameters, m_factory, m_guard);
    }

private:
    Poco::Net::HTTPServerParams::Ptr m_parameters;
    Poco::Net::HTTPRequestHandlerFactory::Ptr m_factory;
    std::shared_ptr<ConnectionGuard> m_guard;
};

}

CallerServer::CallerServer(Frontend &frontend)
    : m_frontend(frontend)
    , m_guard(std::make_shared<ConnectionGuard>(
          frontend.m_settings->m_callers.m_requestTimeout, frontend.m_settings->m_callers.m_maximumConnections, *frontend.m_metrics))
{
}

CallerServer::~CallerServer()
{
    stop();
}

Core::Result<void> CallerServer::start()
{
    const Core::Address &listen = m_frontend.m_settings->m_instance.m_member.m_callers;
    const CallerLimits &limits = m_frontend.m_settings->m_callers;
    const int connections = static_cast<int>(limits.m_maximumConnections);
    try {
        const Poco::Net::ServerSocket socket = Network::listenOn(listen, ListenBacklog);
        Poco::Net::HTTPServerParams::Ptr parameters = new Poco::Net::HTTPServerParams;
        parameters->setMaxThreads(connections);
        parameters->setMaxQueued(connections);
        parameters->setThreadIdleTime(Poco::Timespan(ThreadIdleSeconds, 0));
        parameters->setTimeout(Poco::Timespan(0, limits.m_requestTimeout.count() * 1000));
        parameters->setKeepAlive(true);
        parameters->setKeepAliveTimeout(Poco::Timespan(0, limits.m_keepAliveTimeout.count() * 1000));
        const Poco::Net::HTTPRequestHandlerFactory::Ptr handlers = new CallerHandlerFactory(m_frontend, m_guard);
        m_threads = std::make_unique<Poco::ThreadPool>("callers", MinimumThreads, connections + MinimumThreads, ThreadIdleSeconds);
        m_server = std::make_unique<Poco::Net::TCPServer>(new GuardedConnectionFactory(parameters, handlers, m_guard), *m_threads, socket, parameters);
        m_server->setConnectionFilter(new GuardFilter(m_guard));
        m_guard->start();
        m_server->start();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "listen for callers", listen.toString(), exception.displayText());
    }
    return Core::success();
}

void CallerServer::stop()
{
    if (!m_server) {
        return;
    }
    m_server->stop();
    m_guard->stop();
    m_guard->closeAll();
    m_threads->joinAll();
    m_server.reset();
    m_threads.reset();
}

}
