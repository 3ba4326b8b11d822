/// @file What callers and handlers of calls between processes see.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Wire {

/// How far a call's request got. Only NotSent proves that the peer cannot have acted upon it.
enum class Delivery {
    NotSent, ///< No byte of the request was handed to the network.
    Sent, ///< The request may have been acted upon.
    Answered, ///< The peer ended the call itself, well or with an error.
};

/// The end of a call; every call has exactly one.
struct CallEnd
{
    bool m_succeeded = false;
    Delivery m_delivery = Delivery::NotSent;
    Core::Error m_error; ///< Meaningful unless m_succeeded.

    bool operator==(const CallEnd &) const = default;
};

struct CallOptions
{
    /// Time until the call ends with Timeout; carried to the peer. Zero means no limit (subscriptions).
    Core::Duration m_timeout{5000};
};

/// Run on the node's thread: they must not block, and hand work to another duty through a ring.
struct CallEvents
{
    std::function<void(std::string frame)> m_onFrame;
    std::function<void(const CallEnd &end)> m_onEnd;
};

using CallId = std::uint64_t;

class StreamOutput;

/**
 * A handler's handle on the answer of one incoming call. Thread-safe and copyable; the answer may be sent from any thread.
 *
 * A call whose last handle goes away unfinished ends with an Internal error at the caller, so that no caller waits for good.
 */
class Responder
{
public:
    explicit Responder(std::shared_ptr<StreamOutput> output);

    /// Queues one frame. False if the caller is gone or too far behind; nothing was queued then.
    bool send(std::string frame) const;
    /// Ends the answer well.
    void finish() const;
    /// Ends the answer with an error, which the caller sees as its own.
    void fail(const Core::Error &error) const;
    /// Sends the only frame and finishes.
    void reply(std::string frame) const;

    /// True once the caller cancelled or its connection was lost.
    bool isCancelled() const;
    /// Bytes queued and not yet handed to the network.
    std::size_t backlog() const;

private:
    std::shared_ptr<StreamOutput> m_output;
};

/// A call as a handler receives it.
struct IncomingCall
{
    std::string m_method;
    std::string m_body;
    std::string m_peer; ///< Address of the connection's other end, for errors and logs.
    Core::Duration m_timeout{0}; ///< What was left of the caller's time when it sent the call; zero means no limit.
    Responder m_responder;
};

/// Runs on the node's thread; must not block.
using Handler = std::function<void(IncomingCall call)>;

}
