/// @file One attempt at an agent, read by the thread that serves the caller.
#pragma once

#include "LibClaims/ClaimRecord.h"
#include "LibCore/Ring.h"
#include "LibRouting/AnswerChecker.h"
#include "LibWire/Node.h"

#include <functional>
#include <memory>
#include <optional>

namespace Entry {

/// How an attempt ended.
enum class AttemptEnd {
    Complete, ///< Every frame was checked, and the end was.
    NotRun, ///< It is certain that it did not run and will not: nothing was sent, or the agent has refused it.
    Unknown, ///< It may have run; what came of it is not known here.
    CallerGone,
};

struct AttemptOutcome
{
    AttemptEnd m_end = AttemptEnd::Unknown;
    Core::Error m_error; ///< Unless Whole.

    bool operator==(const AttemptOutcome &) const = default;
};

/// Whether the end of a call proves that the agent has not run the attempt and never will.
bool provesNotRun(const Wire::CallEnd &end);

/**
 * A call of live.call whose frames are handed, checked, to a consumer.
 *
 * The node's thread puts frames into a bounded ring; the caller's thread takes them out. A caller that reads too slowly fills the ring, and
 * its attempt is given up rather than kept in memory without bound.
 */
class LiveAttempt
{
public:
    LiveAttempt(Wire::Node &node, const Core::Address &agent, Protocol::LiveRequest request, Core::Instant deadline);
    /// Cancels the call unless it has ended.
    ~LiveAttempt();

    LiveAttempt(const LiveAttempt &) = delete;
    LiveAttempt &operator=(const LiveAttempt &) = delete;

    /// Receives checked frames; false if the caller is gone.
    using Consumer = std::function<bool(const Protocol::AnswerFrame &frame)>;
    /// Asked whenever nothing more has arrived yet, and now and then while that lasts; true if the caller is gone.
    using IdleCheck = std::function<bool()>;

    /// Reads the answer to its end.
    AttemptOutcome run(const Consumer &consume, const IdleCheck &isGone);

private:
    /// Shared with the call's callbacks, which may outlive this object.
    struct Inbox
    {
        explicit Inbox(std::size_t capacity)
            : m_frames(capacity)
        {
        }

        Core::Ring<std::string> m_frames;
        std::atomic<bool> m_overrun = false;
        std::mutex m_endMutex;
        std::optional<Wire::CallEnd> m_end; ///< Kept apart, so that a full ring cannot lose it.
    };

    std::optional<Wire::CallEnd> callEnd() const;
    AttemptOutcome makeOutcome(const Wire::CallEnd &end) const;
    Core::Error ambiguousError(const std::string &detail) const;

    Wire::Node &m_node;
    const std::string m_peer;
    const Core::Instant m_deadline;
    Routing::AnswerChecker m_checker;
    std::shared_ptr<Inbox> m_inbox;
    Wire::CallId m_call = 0;
};

/// Asks an agent what became of an attempt.
struct OutcomeQuery
{
    Core::Address m_agent;
    Protocol::OutcomeRequest m_request;
};
Core::Result<Protocol::OutcomeAnswer> queryOutcome(Wire::Node &node, const OutcomeQuery &question, Core::Duration timeout);

}
