/// @file One HTTP/1.1 request to one peer on a connection of its own, whose answer is passed on as it comes.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
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
    std::string m_body;
};

struct AnswerHead
{
    int m_status = 0;
    std::string m_reason;
    HeaderFields m_fields;
    bool m_isChunked = false;
    std::optional<std::uint64_t> m_contentLength;
};

/// How a call ended.
struct ClientCallEnd
{
    bool m_isComplete = false; ///< The answer came whole, as its framing tells.
    bool m_wasSent = false; ///< Some of the request may have reached the peer. False means that it surely has not run.
    Core::Error m_error; ///< Why the answer is not whole.
};

/// What the caller of a ClientCall is told. m_onEnd comes exactly once and last, and not at all after cancel().
struct ClientCallEvents
{
    std::function<void(const AnswerHead &head)> m_onHead;
    std::function<void(std::string_view bytes)> m_onData;
    std::function<void(const ClientCallEnd &end)> m_onEnd;
};

/// Bounds on one call.
struct ClientCallLimits
{
    Core::Duration m_connectTimeout{500}; ///< Until the connection stands. A dark peer answers nothing at all, so this is the only sign.
    Core::Duration m_headTimeout{10000}; ///< From the connection to the head of the answer.
    Core::Duration m_idleTimeout{10000}; ///< Longest pause within the body of the answer.
};

/**
 * A request on a new connection, which is closed afterwards.
 *
 * Connections are not kept: on a kept one a request can cross the peer's close, and then nobody can say whether it ran; and an answer that
 * comes twice or late would meet the next request. Both are impossible here, for the price of one round trip.
 */
class ClientCall : public std::enable_shared_from_this<ClientCall>
{
public:
    ClientCall(EventLoop &loop, Core::Address peer, ClientCallLimits limits, ClientCallEvents events);
    ~ClientCall();

    ClientCall(const ClientCall &) = delete;
    ClientCall &operator=(const ClientCall &) = delete;

    void start(const ClientRequest &request);
    /// Ends the call without a further event; an open connection is cut.
    void cancel();
    /// Stops reading from the peer, so that its sender is held up, until resume().
    void pause();
    void resume();

private:
    struct State;

    void onConnected(const boost::system::error_code &error);
    void readHead();
    void onHeadRead(const boost::system::error_code &error);
    void readBody();
    void onBodyRead(const boost::system::error_code &error, std::size_t size);
    void startTimer(Core::Duration limit, const char *step);
    void end(bool isWhole, Core::ErrorCode code, const std::string &step, const std::string &detail);

    const Core::Address m_peer;
    const ClientCallLimits m_limits;
    ClientCallEvents m_events;
    std::unique_ptr<State> m_state;
    bool m_isPaused = false;
    bool m_awaitsResume = false; ///< The body stands still until resume().
    bool m_wasSent = false;
    bool m_hasEnded = false; ///< Once true, no event is sent any more.
};

/// An answer that was read whole.
struct CompleteAnswer
{
    AnswerHead m_head;
    std::string m_body;
};

/**
 * Makes a call and reads its answer whole, at most @p maximumBytes of body. A call whose request may have reached the peer fails with Ambiguous,
 * one that surely has not with Unavailable.
 */
std::shared_ptr<ClientCall> fetch(EventLoop &loop,
                                  const Core::Address &peer,
                                  const ClientRequest &request,
                                  ClientCallLimits limits,
                                  std::size_t maximumBytes,
                                  std::function<void(Core::Result<CompleteAnswer>)> done);

}
