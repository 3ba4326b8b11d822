/// @file One accepted HTTP/1.1 connection: reads requests one after the other and sends each answer as it is produced.
#pragma once

#include "LibCore/Clock.h"
#include "LibHttp/Body.h"
#include "LibHttp/BodyEnd.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HeaderFields.h"
#include "LibHttp/RequestMemory.h"

#include <functional>
#include <memory>
#include <string>

namespace Http {

/// A complete request, or one whose head has been read.
struct ServerRequest
{
    std::string m_method;
    std::string m_target;
    HeaderFields m_fields;
    Body m_body; ///< Empty before it has been read.
    std::string m_peer; ///< Address of the other end.
    Core::Instant m_arrivedAt; ///< When the head was complete.
};

/// Limits on the size and the duration of what the other end sends. They may change while connections are open.
struct ServerLimits
{
    std::uint32_t m_maximumHeaderBytes = 16384;
    std::uint32_t m_maximumBodyBytes = 1 << 20;
    Core::Duration m_headTimeout{3000}; ///< From the first byte of a head to its end.
    Core::Duration m_bodyTimeout{15000}; ///< From the end of a head to the end of its body.
    Core::Duration m_idleTimeout{15000}; ///< Between requests.

    bool operator==(const ServerLimits &) const = default;
};

class ServerConnection;

/// Why a request got no memory.
struct MemoryShortage
{
    std::size_t m_neededBytes = 0; ///< For the complete request.
    std::size_t m_heldBytes = 0; ///< By all requests of the process.
    Core::Duration m_waited{0};
    std::optional<Core::Duration> m_expectedWait; ///< As known when the request was refused.
};

/// Settings and callbacks that all connections of a listener share. Used on the loop's thread only.
struct ServerContext
{
    ServerLimits m_limits;
    /// If true, answers ask the caller to close the connection, unless its next request has already arrived.
    bool m_isClosing = false;
    std::function<void(const std::shared_ptr<ServerConnection> &connection, ServerRequest request)> m_onRequest;
    std::function<void(int status, const std::string &peer, const std::string &reason)> m_onRejected; ///< Called for rejected requests.
    std::function<void(const ServerRequest &request)> m_onLateRequest; ///< Called for requests that are refused because the connection ends; may be empty.
    std::shared_ptr<RequestMemory> m_requestMemory; ///< Shared by all listeners of a process. Null sets no limit.
    std::shared_ptr<Core::ByteBudget> m_answerMemory; ///< For bytes of answers that callers have not read yet; see isBacklogged(). Null sets no limit.
    /// Returns how long waiting for memory can help the caller of a request whose head has been read. Without it requests do not wait.
    std::function<Core::Duration(const ServerRequest &head)> m_maximumMemoryWait;
    /// Called for a request that is refused for want of memory. Returns after which time its caller should retry.
    std::function<Core::Duration(const ServerRequest &head, const MemoryShortage &shortage)> m_onMemoryRefused;
};

/// How the body of an answer is delimited.
struct AnswerFraming
{
    BodyEnd m_end = BodyEnd::LastChunk; ///< HTTP/1.0 callers know no chunks; for them such a body ends with the connection.
    std::optional<std::uint64_t> m_length; ///< Set for BodyEnd::Length. May be set without a body, for an answer to HEAD.
};

/**
 * One accepted connection. The handler of a request keeps the connection alive by holding the pointer that it receives.
 *
 * Exactly one answer is sent for each request. If the source of an answer fails, abort() closes the connection, so that the caller cannot mistake
 * the part that it has received for a complete answer. A body that ends with the connection is complete for the caller if the connection ends in order, so
 * until finish() such a connection can only end with a reset, also if the process is killed.
 *
 * If a socket is closed while the kernel holds received bytes, the kernel resets the connection, and the other end loses what it has not read yet. So every
 * orderly end goes through endOutput(): it ends the output alone, and input is ignored until the other end closes or a time limit passes.
 *
 * A caller may have sent further requests when it learns from an answer that the connection ends with it. They do not run, but those that arrive within a
 * round trip are refused, so that the caller knows that it may send them elsewhere.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Socket socket, std::shared_ptr<ServerContext> context);
    ~ServerConnection();

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();
    /// Instead of start(): answers without reading a request.
    void refuse(int status, const std::string &reason, HeaderFields fields);

    /// Sends a complete answer.
    void answer(int status, HeaderFields fields, std::string body);
    /// Begins an answer; its body is sent with sendBody() and ended with finish().
    void beginAnswer(int status, const std::string &reason, HeaderFields fields, AnswerFraming framing);
    void sendBody(std::string_view bytes);
    void finish();
    /// Closes the connection without finishing the answer, once the bytes that are queued have been written, or after a short time.
    void abort();

    /// Sets a callback that is called once if the other end closes the connection before the answer has ended.
    void onPeerClosed(std::function<void()> callback);
    /// Sets a callback that is called once if the connection ends before all bytes of the current answer have been written, also after finish().
    void onUnsentAnswer(std::function<void(std::size_t bytes)> callback);
    /// Sets a callback that is called whenever all pending bytes of the answer have been written.
    void onDrained(std::function<void()> callback);
    /// Returns whether the source of the answer should pause until onDrained(): more than @p maximumBytes are queued, or any bytes while the answers of the
    /// process hold more memory than they may.
    bool isBacklogged(std::size_t maximumBytes) const;
    /// Returns a reservation of zero bytes for parts of an answer that cannot be sent yet.
    Core::ByteReservation makeAnswerReservation() const;

    /// Ends the connection if it has been waiting for a request for @p idle, and none has arrived that is still to be read.
    void endIfIdleFor(Core::Duration idle);
    /// Refuses the request that waits for memory, if there is one.
    void refuseIfWaiting();
    /// Ends the connection if nothing is answered on it. A request that is being read is refused.
    void endUnanswered();
    bool isOpen() const;

private:
    struct State;

    void awaitRequest();
    void closeIfIdleForLong();
    void readHead();
    /// Parses what has been received of the head, and receives more of it if it is incomplete.
    void parseHead();
    void onHeadRead();
    void readBody();
    void continueBody();
    void parseBody();
    /// Receives at most @p maximumBytes and then calls @p parse.
    void receive(std::size_t maximumBytes, void (ServerConnection::*parse)());
    void onReceived(const boost::system::error_code &error, std::size_t size, void (ServerConnection::*parse)());
    /// Enlarges the reservation of the request and calls @p resume, at once or after a wait; or refuses the request.
    void obtainMemory(std::size_t bytes, void (ServerConnection::*resume)());
    void awaitMemory(std::size_t bytes, void (ServerConnection::*resume)());
    void recordMemoryWait();
    void cancelMemoryWait();
    void refuseForMemory(std::size_t bytes);
    /// Returns the bytes that the request holds if its body has @p bodyBytes.
    std::size_t requestBytes(std::size_t bodyBytes) const;
    /// Returns the bytes that the body's buffer needs to take what has been received.
    std::size_t neededBodyCapacity() const;
    /// Answers a request that violates the protocol or a limit.
    void reject(int status, const std::string &reason);
    /// Answers a request that has not been read completely, ignores the rest of it and closes the connection.
    void answerUnread(int status, const std::string &reason, HeaderFields fields);
    /// Reads and ignores input until the other end closes, and then closes the connection.
    void discardInput();
    void rejectUnreadable(const boost::system::error_code &error);
    void dispatchRequest();
    void watchForPeerClose();
    void checkForPeerClose();
    void awaitCloseAfterInput();
    /// Takes the head of the current request from the parser.
    void takeHead();
    /// Frees the memory of the reader, except for bytes that have been received of the next request.
    void releaseReader();
    /// Returns how the body of an answer to the current request ends if the handler wants it to end like @p wanted.
    BodyEnd supportedBodyEnd(int status, BodyEnd wanted) const;
    void write(std::string bytes);
    void writeNext();
    void onWritten(const boost::system::error_code &error);
    void onAnswerEnded();
    /// Refuses a request that was sent before the end of the connection was known.
    void refuseLateRequest(const ServerRequest &request);
    /// Returns whether bytes of the request after the current one have arrived.
    bool hasNextRequest() const;
    /// Ends the connection in order.
    void endOutput();
    /// Ends the connection after an answer that remains incomplete.
    void endAborted();
    /// Sets whether the connection ends with a reset instead of in order, whatever closes it.
    void setEndsWithReset(bool endsWithReset);
    void handlePeerClosed();
    void startTimer(Core::Duration limit, std::function<void()> onExpiry);
    void close();

    const std::shared_ptr<ServerContext> m_context;
    std::unique_ptr<State> m_state;
    std::function<void()> m_onPeerClosed;
    std::function<void()> m_onDrained;
    std::function<void(std::size_t)> m_onUnsentAnswer;
    bool m_isAnswering = false; ///< A request was passed to the handler or rejected, and its answer has not ended.
    BodyEnd m_bodyEnd = BodyEnd::NoBody; ///< Of the current answer.
    bool m_isReading = false; ///< A request is being read, or waits for memory.
    bool m_isReceiving = false; ///< The socket writes to the buffer of the reader, which therefore must not be freed.
    bool m_isHeadRequest = false; ///< The current request's answer has no body.
    bool m_isHttp10Caller = false; ///< The current request's caller knows no chunks.
    bool m_isRejected = false; ///< An error was sent before the request was complete; the rest of the request is ignored.
    bool m_isAborted = false; ///< Nothing is added to the answer any more, and the connection closes.
    bool m_closeAfterAnswer = false;
    bool m_refusesLateRequests = false; ///< An answer has announced the end of the connection, and it ends because the server is closing.
    std::size_t m_lateRequests = 0; ///< Refused on this connection.
    bool m_hasOutputEnded = false; ///< Nothing is sent any more, and input is ignored.
    bool m_isDiscarding = false; ///< A read is under way whose bytes are ignored.
    bool m_isClosed = false; ///< Once true, nothing is read or written any more.
};

}
