/// @file Sends one HTTP/1.1 request on a connection of its own and passes the answer on as it arrives.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/ByteBudget.h"
#include "LibCore/Clock.h"
#include "LibHttp/Body.h"
#include "LibHttp/BodyEnd.h"
#include "LibHttp/EventLoop.h"
#include "LibHttp/HeaderFields.h"

#include <functional>
#include <memory>
#include <string>

namespace Http {

struct ClientRequest
{
    std::string m_method = "GET";
    std::string m_target = "/";
    HeaderFields m_fields; ///< Without Content-Length, which is set from the body.
    Body m_body;
};

struct AnswerHead
{
    int m_status = 0;
    std::string m_reason;
    HeaderFields m_fields;
    BodyEnd m_bodyEnd = BodyEnd::NoBody;
    std::optional<std::uint64_t> m_contentLength; ///< As stated in the head, also if there is no body.
};

/// How a call ended.
struct ClientCallEnd
{
    /// The answer has ended as its BodyEnd demands, with the connection only if the peer ended its side in order. This does not show that a body which ends
    /// with its connection is complete.
    bool m_isComplete = false;
    bool m_wasSent = false; ///< Some of the request may have reached the peer. False guarantees that the request has not run.
    Core::Error m_error; ///< Why the answer is incomplete.
};

/// Callbacks of a ClientCall. m_onEnd is called exactly once and last, and not at all after cancel().
struct ClientCallEvents
{
    std::function<void(const AnswerHead &head)> m_onHead;
    std::function<void(std::string_view bytes)> m_onData;
    std::function<void(const ClientCallEnd &end)> m_onEnd;
    /// Called when the limit for the head or for a pause has passed. Returns whether the call ends; if not, it is called again after a short time. Without it
    /// the call ends.
    std::function<bool()> m_onSilence;
};

/// Time limits of one call.
struct ClientCallLimits
{
    Core::Duration m_connectTimeout{500}; ///< Until the connection is established. A peer without power sends no reply at all, so only this limit detects it.
    Core::Duration m_headTimeout{10000}; ///< From the established connection to the complete head of the answer.
    Core::Duration m_idleTimeout{10000}; ///< Maximum pause within the body of the answer.
    Core::Duration m_bodyTimeout{60000}; ///< From the head to the end of the body, which otherwise may go on for as long as bytes keep coming.
};

/**
 * A request on a new connection, which is closed afterwards.
 *
 * Connections are not reused. On a reused connection a request can cross the peer's close, and whether it ran is then unknown; a duplicate or
 * late answer would be taken for the answer to the next request. A new connection rules out both, at the cost of one round trip.
 */
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(EventLoop &loop, Core::Address peer, ClientCallLimits limits, ClientCallEvents events);
    ~ClientCall();

    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    /// Connects and sends the request.
    void start(const ClientRequest &request);
    /// Ends the call without further callbacks and closes its connection.
    void cancel();
    /// Stops reading from the peer until resume(), so that TCP flow control stops the sender.
    void pause();
    void resume();

private:
    struct State;

    void onConnected(const boost::system::error_code &error);
    void onRequestWritten(const boost::system::error_code &error);
    void readHead();
    /// Returns whether an answer that ends with the connection may lack its end, because the connection broke.
    bool mayLackEnd() const;
    void onHeadRead(const boost::system::error_code &error);
    void readBody();
    void onBodyRead(const boost::system::error_code &error, std::size_t size);
    /// Ends the call behind the last byte of the answer, as soon as it is known whether an answer that ends with its connection has been cut.
    void onAnswerRead();
    void startTimer(Core::Duration limit, const char *step);
    /// Ends the call after a silence, or lets it go on if its owner wants so.
    void handleSilence(const char *step);
    void end(bool isComplete, Core::ErrorCode code, const std::string &step, const std::string &detail);

    const Core::Address m_peer;
    const ClientCallLimits m_limits;
    ClientCallEvents m_events;
    std::unique_ptr<State> m_state;
    bool m_isPaused = false;
    bool m_awaitsResume = false; ///< Reading of the body continues at resume().
    bool m_wasSent = false;
    bool m_isRequestWritten = false; ///< The write of the request has ended, with or without an error.
    bool m_hasWriteBroken = false; ///< The connection broke while the request was written, and the peer had not ended its side before.
    bool m_awaitsRequestWritten = false; ///< The answer has been read, and the call ends with the write of the request.
    bool m_hasEnded = false; ///< Once true, no callback is called any more.
};

/// An answer with its complete body.
struct CompleteAnswer
{
    AnswerHead m_head;
    std::string m_body;
};

/**
 * Makes a call and reads the complete answer, with at most @p maximumBytes of body. If the body ends with its connection, it may be truncated, and its reader
 * must be able to tell from the content. Fails with Ambiguous if the request may have reached the
 * peer, with Corrupt if the answer is malformed or too long, and otherwise with Timeout if no connection was established within the limit, for example because
 * the peer is frozen, or with Unavailable if the peer refused it. The bodies of all calls with the same @p memory are limited together; a call whose body
 * finds none fails with Corrupt like one that is too long.
 */
std::shared_ptr<ClientCall> fetch(EventLoop &loop,
                                  const Core::Address &peer,
                                  const ClientRequest &request,
                                  ClientCallLimits limits,
                                  std::size_t maximumBytes,
                                  std::function<void(Core::Result<CompleteAnswer>)> done,
                                  std::shared_ptr<Core::ByteBudget> memory = nullptr);

}
