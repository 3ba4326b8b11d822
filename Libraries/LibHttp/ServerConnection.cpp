/// @file Implementation of the server side of HTTP/1.1, on Boost.Asio with Boost.Beast's parser.

#include "LibHttp/ServerConnection.h"

#include "LibHttp/ProgressTimer.h"
#include "LibHttp/SocketOptions.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/status.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>
#include <sys/socket.h>

namespace Http {

namespace Asio = boost::asio;
namespace Beast = boost::beast;

namespace {

using RequestParser = Beast::http::request_parser<Beast::http::string_body>;

/// Interval between checks whether a caller has left that has sent its next request already. Short compared to the time that an answer takes of an engine.
constexpr Core::Duration CloseCheckInterval{50};
constexpr unsigned HttpVersion11 = 11; ///< HTTP/1.1 as the parser encodes it.
constexpr Core::Duration AbortedWriteLimit{200}; ///< For what is queued of an aborted answer. Longer than a round trip to any caller.
constexpr std::size_t HeadReadBytes = 2 << 10; ///< Size of one read of a head; most heads are smaller.
constexpr std::size_t BodyReadBytes = 8 << 10; ///< Size of one read of a body.
constexpr std::size_t UnreservedHeadBytes = 4 << 10; ///< Bytes of a head that are received without a reservation.
constexpr std::size_t HeadCopies = 3; ///< A request's head is held as received, as fields, and as fields to be sent.
/// Held for a request besides its head and its body: its state and the buffers of its reader and of its call to an endpoint.
constexpr std::size_t RequestOverheadBytes = 16 << 10;
constexpr Core::Duration DiscardLimit{2000}; ///< Time for which input is read and ignored at the end of a connection, so that the caller reads the answer.
constexpr std::size_t MaximumLateRequests = 64; ///< Refused on one connection; a caller may go on sending.
constexpr Core::Duration LateRequestTime{200}; ///< For which late requests are refused; longer than a round trip to any caller.
constexpr int NoContent = 204;
constexpr int NotModified = 304;

std::string encodeAnswerHead(int status, const std::string &reason, const HeaderFields &fields)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const HeaderField &field : fields) {
        head += field.m_name + ": " + field.m_value + "\r\n";
    }
    return head;
}

std::string reasonPhrase(int status)
{
    return std::string(Beast::http::obsolete_reason(static_cast<Beast::http::status>(status)));
}

std::string encodeChunk(std::string_view bytes)
{
    std::array<char, 24> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    std::string chunk(size.data(), static_cast<std::size_t>(length));
    chunk.append(bytes);
    return chunk + "\r\n";
}

std::size_t countHostFields(const HeaderFields &fields)
{
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [](const HeaderField &field) { return isSameName(field.m_name, "Host"); }));
}

}

struct ServerConnection::State
{
    explicit State(Socket socket)
        : m_socket(std::move(socket))
        , m_timer(m_socket)
        , m_closeCheckTimer(m_socket.get_executor())
        , m_endTimer(m_socket.get_executor())
        , m_memoryTimer(m_socket.get_executor())
    {
    }

    Socket m_socket;
    ProgressTimer m_timer;
    Timer m_closeCheckTimer; ///< For a peer that has sent the next request before the answer.
    Timer m_endTimer; ///< Limits the time until the other end closes a connection whose output has ended.
    Timer m_memoryTimer; ///< Limits the wait for memory. The bytes that wait unread meanwhile must not prolong it as they would prolong m_timer.
    Beast::flat_buffer m_buffer; ///< Received and not parsed.
    std::optional<RequestParser> m_parser; ///< Set while a request is read.
    ServerRequest m_request; ///< The current request, from the end of its head until it is passed to the handler.
    Core::ByteReservation m_memory; ///< For the current request until it is passed to the handler, then empty.
    std::optional<RequestMemory::Ticket> m_memoryTicket; ///< Set while the request waits for memory.
    Core::Instant m_bodyEndsBy; ///< Time limit of the current request's body.
    Core::Instant m_waitsSince; ///< When the request began to wait for memory.
    Core::Duration m_memoryWaited{0}; ///< By the current request.
    std::size_t m_headBytes = 0; ///< Of the current request.
    std::string m_peer;
    Core::Instant m_idleSince; ///< When the connection last began to wait for a request.
    std::deque<std::string> m_outgoing; ///< The first is being written.
    std::size_t m_pendingBytes = 0; ///< Sum of the sizes of m_outgoing.
    Core::ByteReservation m_answerMemory; ///< For m_pendingBytes.
};

ServerConnection::ServerConnection(Socket socket, std::shared_ptr<ServerContext> context)
    : m_context(std::move(context))
    , m_state(std::make_unique<State>(std::move(socket)))
{
    boost::system::error_code error;
    const Asio::ip::tcp::endpoint peer = m_state->m_socket.remote_endpoint(error);
    m_state->m_peer = error ? std::string("unknown") : peer.address().to_string() + ":" + std::to_string(peer.port());
    m_state->m_answerMemory = makeAnswerReservation();
}

ServerConnection::~ServerConnection()
{
    close(); // The destructor of the socket would turn a reset into an orderly end.
}

void ServerConnection::start()
{
    setStreamOptions(m_state->m_socket);
    awaitRequest();
}

void ServerConnection::refuse(int status, const std::string &reason, HeaderFields fields)
{
    setStreamOptions(m_state->m_socket);
    answerUnread(status, reason, std::move(fields));
}

void ServerConnection::startTimer(Core::Duration limit, std::function<void()> onExpiry)
{
    m_state->m_timer.start(limit, weak_from_this(), [this, expire = std::move(onExpiry)] {
        if (!m_isClosed) {
            expire();
        }
    });
}

void ServerConnection::awaitRequest()
{
    m_isReading = false;
    m_state->m_idleSince = Core::Clock::now();
    if (m_state->m_buffer.size() > 0) {
        readHead();
        return;
    }
    if (m_refusesLateRequests) {
        startTimer(LateRequestTime, [this] { endOutput(); });
    } else {
        startTimer(m_context->m_limits.m_idleTimeout, [this] { closeIfIdleForLong(); });
    }
    m_state->m_socket.async_wait(Socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        if (self->m_isClosed || self->m_hasOutputEnded) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->readHead();
    });
}

void ServerConnection::closeIfIdleForLong()
{
    const Core::Duration idle = std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_state->m_idleSince);
    const Core::Duration left = m_context->m_limits.m_idleTimeout - idle;
    if (left.count() <= 0) {
        endOutput();
        return;
    }
    startTimer(left, [this] { closeIfIdleForLong(); }); // The limit was raised meanwhile.
}

void ServerConnection::readHead()
{
    m_isReading = true;
    m_state->m_parser.emplace();
    m_state->m_parser->header_limit(m_context->m_limits.m_maximumHeaderBytes);
    m_state->m_parser->body_limit(m_context->m_limits.m_maximumBodyBytes);
    m_state->m_memory = m_context->m_requestMemory ? m_context->m_requestMemory->makeReservation() : Core::ByteReservation();
    m_state->m_memoryWaited = Core::Duration(0);
    m_state->m_headBytes = 0;
    m_state->m_request = ServerRequest();
    m_isHeadRequest = false;
    m_isHttp10Caller = false;
    startTimer(m_context->m_limits.m_headTimeout, [this] { reject(408, "the head came too slowly"); });
    parseHead();
}

void ServerConnection::parseHead()
{
    boost::system::error_code error = Beast::http::error::need_more;
    if (m_state->m_buffer.size() > 0) {
        const std::size_t parsed = m_state->m_parser->put(m_state->m_buffer.data(), error);
        m_state->m_buffer.consume(parsed);
        m_state->m_headBytes += parsed;
    }
    if (m_state->m_parser->is_header_done() && !error) {
        onHeadRead();
        return;
    }
    if (error && error != Beast::http::error::need_more) {
        rejectUnreadable(error);
        return;
    }
    const std::size_t unparsed = m_state->m_buffer.size();
    if (unparsed > UnreservedHeadBytes && m_context->m_requestMemory
        && !m_context->m_requestMemory->tryEnlarge(m_state->m_memory, 2 * (unparsed + HeadReadBytes))) {
        refuseForMemory(2 * (unparsed + HeadReadBytes));
        return;
    }
    receive(HeadReadBytes, &ServerConnection::parseHead);
}

void ServerConnection::receive(std::size_t maximumBytes, void (ServerConnection::*parse)())
{
    m_isReceiving = true;
    m_state->m_socket.async_read_some(m_state->m_buffer.prepare(maximumBytes),
                                      [self = shared_from_this(), parse](const boost::system::error_code &error, std::size_t size) {
                                          self->m_isReceiving = false;
                                          self->onReceived(error, size, parse);
                                      });
}

void ServerConnection::onReceived(const boost::system::error_code &error, std::size_t size, void (ServerConnection::*parse)())
{
    if (m_isClosed) {
        return;
    }
    if (m_isRejected) {
        discardInput();
        return;
    }
    if (error) {
        close();
        return;
    }
    m_state->m_buffer.commit(size);
    (this->*parse)();
}

void ServerConnection::rejectUnreadable(const boost::system::error_code &error)
{
    if (error == Beast::http::error::header_limit) {
        reject(431, "the head is too large");
        return;
    }
    if (error == Beast::http::error::body_limit) {
        reject(413, "the body is too large");
        return;
    }
    reject(400, error.message());
}

void ServerConnection::takeHead()
{
    const RequestParser::value_type &message = m_state->m_parser->get();
    m_closeAfterAnswer = !message.keep_alive();
    m_isHeadRequest = message.method() == Beast::http::verb::head;
    m_isHttp10Caller = message.version() < HttpVersion11;
    ServerRequest request;
    request.m_method = std::string(message.method_string());
    request.m_target = std::string(message.target());
    request.m_peer = m_state->m_peer;
    request.m_arrivedAt = Core::Clock::now();
    for (const Beast::http::fields::value_type &field : message) {
        request.m_fields.push_back(HeaderField{std::string(field.name_string()), std::string(field.value())});
    }
    m_state->m_request = std::move(request);
}

void ServerConnection::onHeadRead()
{
    takeHead();
    const HeaderFields &fields = m_state->m_request.m_fields;
    if (!hasKnownTransferCoding(fields)) {
        reject(400, "the body's framing is not supported");
        return;
    }
    if (countHostFields(fields) != 1) {
        reject(400, "one Host field is needed");
        return;
    }
    // The parser has checked the declared length against the limit on bodies.
    const std::uint64_t length = m_state->m_parser->content_length().value_or(0);
    obtainMemory(requestBytes(static_cast<std::size_t>(length)), &ServerConnection::readBody);
}

std::size_t ServerConnection::requestBytes(std::size_t bodyBytes) const
{
    return RequestOverheadBytes + HeadCopies * m_state->m_headBytes + bodyBytes;
}

void ServerConnection::obtainMemory(std::size_t bytes, void (ServerConnection::*resume)())
{
    RequestMemory *memory = m_context->m_requestMemory.get();
    if (!memory || memory->tryEnlarge(m_state->m_memory, bytes)) {
        (this->*resume)();
        return;
    }
    if (!memory->canEverHold(bytes)) {
        reject(413, "the request is larger than this process may hold");
        return;
    }
    awaitMemory(bytes, resume);
}

void ServerConnection::awaitMemory(std::size_t bytes, void (ServerConnection::*resume)())
{
    RequestMemory &memory = *m_context->m_requestMemory;
    const Core::Duration limit = m_context->m_maximumMemoryWait ? m_context->m_maximumMemoryWait(m_state->m_request) : Core::Duration(0);
    const Core::Instant now = Core::Clock::now();
    if (limit <= Core::Duration(0) || memory.expectedWait(bytes, now).value_or(Core::Duration(0)) > limit) {
        refuseForMemory(bytes);
        return;
    }
    m_state->m_waitsSince = now;
    m_state->m_timer.stop();
    const RequestMemory::Ticket ticket = memory.await(m_state->m_memory, bytes, [self = shared_from_this(), resume] {
        self->m_state->m_memoryTicket.reset();
        self->m_state->m_memoryTimer.cancel();
        self->recordMemoryWait();
        (self.get()->*resume)();
    });
    m_state->m_memoryTicket = ticket;
    m_state->m_memoryTimer.expires_after(limit);
    m_state->m_memoryTimer.async_wait([weak = weak_from_this(), bytes, ticket](const boost::system::error_code &error) {
        const std::shared_ptr<ServerConnection> self = weak.lock();
        if (!error && self && self->m_state->m_memoryTicket == ticket) {
            self->cancelMemoryWait();
            self->refuseForMemory(bytes);
        }
    });
}

void ServerConnection::recordMemoryWait()
{
    m_state->m_memoryWaited += std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_state->m_waitsSince);
}

void ServerConnection::cancelMemoryWait()
{
    if (!m_state->m_memoryTicket) {
        return;
    }
    recordMemoryWait();
    m_state->m_memoryTimer.cancel();
    m_context->m_requestMemory->cancel(*std::exchange(m_state->m_memoryTicket, std::nullopt));
}

void ServerConnection::refuseForMemory(std::size_t bytes)
{
    const RequestMemory &memory = *m_context->m_requestMemory;
    const MemoryShortage shortage{bytes, memory.budget().held(), m_state->m_memoryWaited, memory.expectedWait(bytes, Core::Clock::now())};
    constexpr Core::Duration usualRetryAfter{1000};
    const Core::Duration retryAfter = m_context->m_onMemoryRefused ? m_context->m_onMemoryRefused(m_state->m_request, shortage) : usualRetryAfter;
    answerUnread(503, "the memory for requests is in use", {HeaderField{"Retry-After", retryAfterText(retryAfter)}});
}

void ServerConnection::readBody()
{
    const std::string *expectation = findField(m_state->m_request.m_fields, "Expect");
    if (expectation && isSameName(*expectation, "100-continue") && !m_state->m_parser->is_done()) {
        write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    m_state->m_parser->eager(true);
    if (m_state->m_parser->is_done()) {
        dispatchRequest();
        return;
    }
    m_state->m_bodyEndsBy = Core::Clock::now() + m_context->m_limits.m_bodyTimeout;
    continueBody();
}

void ServerConnection::continueBody()
{
    const Core::Duration left = std::chrono::ceil<Core::Duration>(m_state->m_bodyEndsBy - Core::Clock::now());
    startTimer(std::max(left, Core::Duration(0)), [this] { reject(408, "the body came too slowly"); });
    parseBody();
}

std::size_t ServerConnection::neededBodyCapacity() const
{
    const std::string &body = m_state->m_parser->get().body();
    const std::size_t maximum = m_context->m_limits.m_maximumBodyBytes;
    const std::size_t received = std::min(body.size() + m_state->m_buffer.size(), maximum);
    return received <= body.capacity() ? body.capacity() : std::clamp(2 * body.capacity(), received, std::max(received, maximum));
}

void ServerConnection::parseBody()
{
    const std::size_t capacity = neededBodyCapacity();
    const bool needsMemory = m_context->m_requestMemory && requestBytes(capacity) > m_state->m_memory.bytes();
    if (m_state->m_parser->chunked() && needsMemory) {
        obtainMemory(requestBytes(capacity), &ServerConnection::continueBody);
        return;
    }
    if (m_state->m_parser->chunked()) {
        m_state->m_parser->get().body().reserve(capacity);
    }
    boost::system::error_code error = Beast::http::error::need_more;
    if (m_state->m_buffer.size() > 0) {
        m_state->m_buffer.consume(m_state->m_parser->put(m_state->m_buffer.data(), error));
    }
    if (m_state->m_parser->is_done() && !error) {
        dispatchRequest();
        return;
    }
    if (error && error != Beast::http::error::need_more) {
        rejectUnreadable(error);
        return;
    }
    if (m_state->m_buffer.size() > m_context->m_limits.m_maximumHeaderBytes) {
        reject(400, "the header of a chunk does not end");
        return;
    }
    receive(BodyReadBytes, &ServerConnection::parseBody);
}

void ServerConnection::reject(int status, const std::string &reason)
{
    if (m_context->m_onRejected) {
        m_context->m_onRejected(status, m_state->m_peer, reason);
    }
    answerUnread(status, reason, {});
}

void ServerConnection::answerUnread(int status, const std::string &reason, HeaderFields fields)
{
    m_isRejected = true;
    m_isReading = false;
    m_isAnswering = true;
    m_closeAfterAnswer = true;
    m_state->m_parser.reset();
    m_state->m_memory = Core::ByteReservation();
    startTimer(DiscardLimit, [this] { close(); }); // The other end may not read the answer. The limit of the reader no longer counts.
    fields.push_back(HeaderField{"Content-Type", "text/plain"});
    answer(status, std::move(fields), reason + "\n");
    discardInput();
}

void ServerConnection::discardInput()
{
    if (m_isReceiving || m_isDiscarding) {
        return; // onReceived() and the read below continue by themselves.
    }
    // The bytes are ignored, so that all connections of a thread may write to the same buffer.
    static thread_local std::array<char, BodyReadBytes> ignoredBytes;
    m_isDiscarding = true;
    m_state->m_buffer.clear();
    m_state->m_buffer.shrink_to_fit();
    m_state->m_socket.async_read_some(Asio::buffer(ignoredBytes), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->m_isDiscarding = false;
        if (self->m_isClosed) {
            return;
        }
        if (!error) {
            self->discardInput();
        } else if (self->m_state->m_outgoing.empty()) {
            self->close();
        }
    });
}

void ServerConnection::dispatchRequest()
{
    m_state->m_timer.stop();
    m_isAnswering = true;
    m_isReading = false;
    m_bodyEnd = BodyEnd::NoBody;
    ServerRequest request = std::move(m_state->m_request);
    request.m_body = Body(std::move(m_state->m_parser->get().body()), std::move(m_state->m_memory));
    releaseReader();
    watchForPeerClose();
    if (m_refusesLateRequests) {
        refuseLateRequest(request);
        return;
    }
    const std::shared_ptr<ServerConnection> self = shared_from_this();
    m_context->m_onRequest(self, std::move(request));
}

void ServerConnection::refuseLateRequest(const ServerRequest &request)
{
    ++m_lateRequests;
    if (m_context->m_onLateRequest) {
        m_context->m_onLateRequest(request);
    }
    answer(503, {HeaderField{"Retry-After", retryAfterText(Core::Duration(0))}, HeaderField{"Content-Type", "text/plain"}}, "the connection ends\n");
}

void ServerConnection::releaseReader()
{
    m_state->m_parser.reset();
    m_state->m_buffer.shrink_to_fit();
}

void ServerConnection::watchForPeerClose()
{
    boost::system::error_code ignored; // A check that is left of the answer before does no harm.
    m_state->m_closeCheckTimer.cancel(ignored);
    m_state->m_socket.async_wait(Socket::wait_read, [weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<ServerConnection> self = weak.lock();
        if (self && !error && !self->m_isClosed && self->m_isAnswering) {
            self->checkForPeerClose();
        }
    });
}

void ServerConnection::checkForPeerClose()
{
    char byte = 0;
    const ssize_t peeked = recv(m_state->m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (peeked > 0) {
        awaitCloseAfterInput();
        return;
    }
    if (peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) {
        watchForPeerClose();
        return;
    }
    handlePeerClosed();
}

/// The next request has arrived and is read after this answer. Until then the socket always counts as readable, so that only a regular check shows the close.
void ServerConnection::awaitCloseAfterInput()
{
    m_state->m_closeCheckTimer.expires_after(CloseCheckInterval);
    m_state->m_closeCheckTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<ServerConnection> self = weak.lock();
        if (error || !self || self->m_isClosed || !self->m_isAnswering) {
            return;
        }
        if (hasPeerClosed(self->m_state->m_socket)) {
            self->handlePeerClosed();
        } else {
            self->awaitCloseAfterInput();
        }
    });
}

void ServerConnection::handlePeerClosed()
{
    const std::function<void()> callback = std::move(m_onPeerClosed);
    m_onPeerClosed = nullptr;
    close();
    if (callback) {
        callback();
    }
}

void ServerConnection::onPeerClosed(std::function<void()> callback)
{
    m_onPeerClosed = std::move(callback);
}

void ServerConnection::onDrained(std::function<void()> callback)
{
    m_onDrained = std::move(callback);
}

void ServerConnection::onUnsentAnswer(std::function<void(std::size_t)> callback)
{
    m_onUnsentAnswer = std::move(callback);
}

bool ServerConnection::isBacklogged(std::size_t maximumBytes) const
{
    const bool isMemoryExceeded = m_context->m_answerMemory && m_context->m_answerMemory->isExceeded();
    return m_state->m_pendingBytes > (isMemoryExceeded ? 0 : maximumBytes);
}

Core::ByteReservation ServerConnection::makeAnswerReservation() const
{
    return Core::ByteReservation(m_context->m_answerMemory);
}

bool ServerConnection::isOpen() const
{
    return !m_isClosed;
}

void ServerConnection::answer(int status, HeaderFields fields, std::string body)
{
    beginAnswer(status, reasonPhrase(status), std::move(fields), AnswerFraming{BodyEnd::Length, body.size()});
    sendBody(body);
    finish();
}

void ServerConnection::beginAnswer(int status, const std::string &reason, HeaderFields fields, AnswerFraming framing)
{
    if (m_isClosed) {
        return;
    }
    m_bodyEnd = supportedBodyEnd(status, framing.m_end);
    const bool isLast = m_context->m_isClosing && !hasNextRequest();
    // A caller that has asked for the end of the connection itself sends nothing more.
    m_refusesLateRequests = m_refusesLateRequests || (isLast && m_bodyEnd != BodyEnd::Close && !m_closeAfterAnswer);
    m_closeAfterAnswer = m_closeAfterAnswer || isLast || m_refusesLateRequests || m_bodyEnd == BodyEnd::Close;
    const bool mayStateLength = status != NoContent && status != NotModified;
    if (framing.m_length && mayStateLength) {
        fields.push_back(HeaderField{"Content-Length", std::to_string(*framing.m_length)});
    }
    if (m_bodyEnd == BodyEnd::LastChunk) {
        fields.push_back(HeaderField{"Transfer-Encoding", "chunked"});
    }
    if (m_closeAfterAnswer) {
        fields.push_back(HeaderField{"Connection", "close"});
    }
    if (m_bodyEnd == BodyEnd::Close) {
        setEndsWithReset(true);
    }
    write(encodeAnswerHead(status, reason, fields) + "\r\n");
}

bool ServerConnection::hasNextRequest() const
{
    return m_state->m_buffer.size() > 0 || hasUnreadInput(m_state->m_socket);
}

BodyEnd ServerConnection::supportedBodyEnd(int status, BodyEnd wanted) const
{
    if (m_isHeadRequest || status == NoContent || status == NotModified) {
        return BodyEnd::NoBody;
    }
    return wanted == BodyEnd::LastChunk && m_isHttp10Caller ? BodyEnd::Close : wanted;
}

void ServerConnection::sendBody(std::string_view bytes)
{
    if (m_isClosed || m_isAborted || bytes.empty() || m_bodyEnd == BodyEnd::NoBody) {
        return;
    }
    write(m_bodyEnd == BodyEnd::LastChunk ? encodeChunk(bytes) : std::string(bytes));
}

void ServerConnection::finish()
{
    if (m_isClosed || m_isAborted || !m_isAnswering) {
        return;
    }
    if (m_bodyEnd == BodyEnd::LastChunk) {
        write("0\r\n\r\n");
    }
    m_onPeerClosed = nullptr;
    m_isAnswering = false;
    if (m_state->m_outgoing.empty()) {
        onAnswerEnded();
    }
}

void ServerConnection::abort()
{
    m_onPeerClosed = nullptr;
    m_onDrained = nullptr;
    m_isAborted = true;
    if (m_isClosed || m_state->m_outgoing.empty()) {
        endAborted();
        return;
    }
    startTimer(AbortedWriteLimit, [this] { close(); });
}

void ServerConnection::endAborted()
{
    // The end of the output would complete a body that ends with the connection.
    if (m_isClosed || m_bodyEnd == BodyEnd::Close) {
        close();
    } else {
        endOutput();
    }
}

void ServerConnection::write(std::string bytes)
{
    m_state->m_pendingBytes += bytes.size();
    m_state->m_answerMemory.resize(m_state->m_pendingBytes);
    // Data queued behind the current write is merged into one buffer.
    if (m_state->m_outgoing.size() > 1) {
        m_state->m_outgoing.back() += bytes;
        return;
    }
    m_state->m_outgoing.push_back(std::move(bytes));
    if (m_state->m_outgoing.size() == 1) {
        // The write is posted, so that a head and the body that follows it at once are sent in one write.
        Asio::post(m_state->m_socket.get_executor(), [self = shared_from_this()] { self->writeNext(); });
    }
}

void ServerConnection::writeNext()
{
    if (m_isClosed || m_state->m_outgoing.empty()) {
        return;
    }
    while (m_state->m_outgoing.size() > 1) {
        m_state->m_outgoing.front() += m_state->m_outgoing[1];
        m_state->m_outgoing.erase(m_state->m_outgoing.begin() + 1);
    }
    Asio::async_write(m_state->m_socket,
                      Asio::buffer(m_state->m_outgoing.front()),
                      [self = shared_from_this()](const boost::system::error_code &error, std::size_t) { self->onWritten(error); });
}

void ServerConnection::onWritten(const boost::system::error_code &error)
{
    if (m_isClosed) {
        return;
    }
    if (error) {
        handlePeerClosed();
        return;
    }
    m_state->m_pendingBytes -= m_state->m_outgoing.front().size();
    m_state->m_answerMemory.resize(m_state->m_pendingBytes);
    m_state->m_outgoing.pop_front();
    if (!m_state->m_outgoing.empty()) {
        writeNext();
        return;
    }
    if (m_isAborted) {
        endAborted();
        return;
    }
    if (m_isAnswering) {
        if (m_onDrained) {
            m_onDrained();
        }
        return;
    }
    if (!m_isReading) {
        onAnswerEnded();
    }
}

void ServerConnection::onAnswerEnded()
{
    m_onDrained = nullptr;
    m_onUnsentAnswer = nullptr;
    const bool awaitsLateRequest = m_refusesLateRequests && !m_isRejected && m_lateRequests < MaximumLateRequests;
    if (!m_closeAfterAnswer || awaitsLateRequest) {
        awaitRequest();
        return;
    }
    setEndsWithReset(false);
    endOutput();
}

void ServerConnection::endOutput()
{
    m_hasOutputEnded = true;
    m_state->m_timer.stop();
    boost::system::error_code ignored; // The other end may have reset the connection.
    m_state->m_socket.shutdown(Socket::shutdown_send, ignored);
    m_state->m_endTimer.expires_after(DiscardLimit);
    m_state->m_endTimer.async_wait([self = shared_from_this()](const boost::system::error_code &) { self->close(); });
    discardInput();
}

void ServerConnection::setEndsWithReset(bool endsWithReset)
{
    boost::system::error_code ignored; // The peer may have reset the connection, which then ends so in any case.
    m_state->m_socket.set_option(Asio::socket_base::linger(endsWithReset, 0), ignored);
}

void ServerConnection::endIfIdleFor(Core::Duration idle)
{
    const bool isIdle = !m_isClosed && !m_isAnswering && !m_isReading && !m_hasOutputEnded && m_state->m_outgoing.empty();
    if (isIdle && Core::Clock::now() - m_state->m_idleSince >= idle && !hasUnreadInput(m_state->m_socket)) {
        endOutput();
    }
}

void ServerConnection::refuseIfWaiting()
{
    if (!m_isClosed && m_state->m_memoryTicket) {
        cancelMemoryWait();
        refuseForMemory(requestBytes(neededBodyCapacity()));
    }
}

void ServerConnection::endUnanswered()
{
    if (m_isClosed || m_isAnswering || m_hasOutputEnded) {
        return;
    }
    if (m_isReading) {
        cancelMemoryWait();
        const std::string reason = "this process ends";
        if (m_context->m_onRejected) {
            m_context->m_onRejected(503, m_state->m_peer, reason);
        }
        answerUnread(503, reason, {HeaderField{"Retry-After", retryAfterText(Core::Duration(0))}});
        return;
    }
    endIfIdleFor(Core::Duration(0));
}

void ServerConnection::close()
{
    if (m_isClosed) {
        return;
    }
    m_isClosed = true;
    m_state->m_timer.stop();
    cancelMemoryWait();
    m_state->m_memory = Core::ByteReservation();
    boost::system::error_code ignored; // The connection is closed in any case.
    m_state->m_endTimer.cancel(ignored);
    m_state->m_closeCheckTimer.cancel(ignored);
    m_state->m_socket.close(ignored);
    const std::function<void(std::size_t)> callback = std::exchange(m_onUnsentAnswer, nullptr);
    if (callback && m_state->m_pendingBytes > 0) {
        callback(m_state->m_pendingBytes);
    }
}

}
