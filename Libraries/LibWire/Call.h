/// @file Types for the callers and handlers of calls between processes.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Wire {

/// How far the request of a call got. Only NotSent guarantees that the peer has not acted on it.
enum class Delivery {
    NotSent, ///< No byte of the request was passed to the network.
    Sent, ///< The peer may have acted on the request.
    Answered, ///< The peer ended the call itself, with success or with an error.
};

/// How a call ended; every call ends exactly once.
struct CallEnd
{
    bool m_succeeded = false;
    Delivery m_delivery = Delivery::NotSent;
    Core::Error m_error; ///< Meaningful unless m_succeeded.

    bool operator==(const CallEnd &) const = default;
};

struct CallOptions
{
    /// Time until the call ends with Timeout; sent to the peer. Zero means no limit (subscriptions).
    Core::Duration m_timeout{5000};
};

/// Callbacks of a call. They run on the node's thread and must not block; longer work is passed to another worker through a ring.
struct CallEvents
{
    std::function<void(std::string frame)> m_onFrame;
    std::function<void(const CallEnd &end)> m_onEnd;
};

using CallId = std::uint64_t;

class StreamOutput;

/**
 * Sends the answer of one incoming call. Thread-safe and copyable; the answer may be sent from any thread.
 *
 * If the last copy is destroyed before the answer is finished, the call ends with an Internal error at the caller, so that no caller waits forever.
 */
class Responder
{
public:
    explicit Responder(std::shared_ptr<StreamOutput> output);

    /// Queues one frame. Returns false and queues nothing if the call has ended or its backlog is full.
    bool send(std::string frame) const;
    /// Ends the answer with success.
    void finish() const;
    /// Ends the answer with an error, which becomes the error of the call at the caller.
    void fail(const Core::Error &error) const;
    /// Sends a single frame and finishes the answer.
    void reply(std::string frame) const;

    /// Returns true once the caller has cancelled the call or its connection is lost.
    bool isCancelled() const;
    /// Returns the number of bytes that are queued and not yet passed to the network.
    std::size_t backlog() const;

private:
    std::shared_ptr<StreamOutput> m_output;
};

/// An incoming call as passed to its handler.
struct IncomingCall
{
    std::string m_method;
    std::string m_body;
    std::string m_peer; ///< Address of the connection's other end, for errors and logs.
    Core::Duration m_timeout{0}; ///< Time that the caller allowed when it sent the call; zero means no limit.
    Responder m_responder;
};

/// Handles an incoming call. Runs on the node's thread and must not block.
using Handler = std::function<void(IncomingCall call)>;

}
