/// @file One accepted HTTP/1.1 connection: reads requests one after the other and sends each one's answer as it is made.
#pragma once

#include "LibCore/Clock.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HeaderFields.h"

#include <functional>
#include <memory>
#include <string>

namespace Http {

/// A request that was read whole.
struct ServerRequest
{
    std::string m_method;
    std::string m_target;
    HeaderFields m_fields;
    std::string m_body;
    std::string m_peer; ///< Address of the other end.
};

/// Bounds on what the other end may send, and how slowly. They may change while connections are open.
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

/// What all connections of a listener share. Used on the loop's thread only.
struct ServerContext
{
    ServerLimits m_limits;
    bool m_isClosing = false; ///< Every answer from now on asks the caller to close, and idle connections are closed.
    std::function<void(const std::shared_ptr<ServerConnection> &connection, ServerRequest request)> m_onRequest;
    std::function<void(int status, const std::string &peer, const std::string &reason)> m_onRejected; ///< A request that was not read whole.
};

/// How an answer's body is delimited.
struct AnswerFraming
{
    std::optional<std::uint64_t> m_length; ///< Empty means chunks, or the end of the connection for callers of HTTP/1.0.
};

/**
 * One connection. The handler of a request keeps the connection alive by holding the pointer that it is given.
 *
 * Exactly one answer is sent for each request. An answer whose source breaks off ends with abort(), which cuts the connection so that the
 * caller cannot take what it has for the whole.
 */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Socket socket, std::shared_ptr<ServerContext> context);
    ~ServerConnection();

    ServerConnection(const ServerConnection &) = delete;
    ServerConnection &operator=(const ServerConnection &) = delete;

    void start();

    /// Sends a whole answer.
    void answer(int status, HeaderFields fields, std::string body);
    /// Begins an answer whose body follows by sendBody() and ends with finish().
    void beginAnswer(int status, const std::string &reason, HeaderFields fields, AnswerFraming framing);
    void sendBody(std::string_view bytes);
    void finish();
    /// Cuts the connection.
    void abort();

    /// Called once if the other end goes away before its answer has ended.
    void onPeerClosed(std::function<void()> callback);
    /// Called each time that everything handed over has been written.
    void onDrained(std::function<void()> callback);
    /// Bytes that were handed over and are not written yet.
    std::size_t pendingBytes() const;

    /// Closes the connection if no request is being read or answered.
    void closeIfIdle();
    bool isOpen() const;

private:
    struct State;

    void awaitRequest();
    void readHead();
    void onHeadRead(const boost::system::error_code &error);
    void readBody();
    void onBodyRead(const boost::system::error_code &error);
    void reject(int status, const std::string &reason);
    void rejectUnreadable(const boost::system::error_code &error);
    void dispatchRequest();
    void watchForPeerClose();
    void checkForPeerClose();
    void write(std::string bytes);
    void writeNext();
    void onWritten(const boost::system::error_code &error);
    void onAnswerEnded();
    void handlePeerClosed();
    void startTimer(Core::Duration limit, std::function<void()> onExpiry);
    void close();

    const std::shared_ptr<ServerContext> m_context;
    std::unique_ptr<State> m_state;
    std::function<void()> m_onPeerClosed;
    std::function<void()> m_onDrained;
    bool m_isAnswering = false; ///< A request was handed over and its answer has not ended.
    bool m_isChunked = false; ///< Framing of the answer under way.
    bool m_isReading = false; ///< Some of a request has come.
    bool m_isRejected = false; ///< A refusal was sent before the request was read whole; what still comes of it is ignored.
    bool m_closeAfterAnswer = false;
    bool m_isClosed = false; ///< Once true, nothing is read or written any more.
};

}
