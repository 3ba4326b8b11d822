/// @file One attempt at an agent, whose answer is read by the thread that serves the caller.
#pragma once

#include "LibClaims/ClaimRecord.h"
#include "LibCore/ByteBudget.h"
#include "LibCore/Ring.h"
#include "LibRouting/AnswerChecker.h"
#include "LibWire/Node.h"

#include <functional>
#include <memory>
#include <optional>

namespace Entry {

/// How an attempt ended.
enum class AttemptEnd {
    Complete, ///< All frames including the end frame were received and are valid.
    NotRun, ///< The attempt is guaranteed not to have run and not to run later: nothing was sent, or the agent refused it.
    Unknown, ///< The attempt may have run; its outcome is not known here.
    CallerGone,
};

struct AttemptOutcome
{
    AttemptEnd m_end = AttemptEnd::Unknown;
    Core::Error m_error; ///< Set unless m_end is Complete.

    bool operator==(const AttemptOutcome &) const = default;
};

/// Returns the error of an attempt whose answer finds no room in the memory that all answers share.
Core::Error answerMemoryError(const std::string &peer);
/// Returns whether the answer was given up because the memory for answers is in use.
bool isForWantOfMemory(const AttemptOutcome &outcome);

/// True if the end of a call proves that the agent has not run the attempt and never will.
bool provesNotRun(const Wire::CallEnd &end);

/**
 * A live.call whose frames are checked and passed to a consumer.
 *
 * The node's thread puts frames into a bounded ring, and the thread that serves the caller takes them out. If a caller reads so slowly that the ring
 * is full, its attempt is given up rather than buffered without a bound. So is one whose frames find no room in the memory for answers, which all attempts
 * share.
 */
class LiveAttempt
{
public:
    /// @p memory: for the frames that have been received and not consumed.
    LiveAttempt(Wire::Node &node, const Core::Address &agent, Protocol::LiveRequest request, Core::Instant deadline, std::shared_ptr<Core::ByteBudget> memory);
    /// Cancels the call unless it has ended.
    ~LiveAttempt();

    LiveAttempt(const LiveAttempt &) = delete;
    LiveAttempt &operator=(const LiveAttempt &) = delete;

    /// Receives checked frames. Returns false if the caller has disconnected.
    using Consumer = std::function<bool(const Protocol::AnswerFrame &frame)>;
    /// Called when no frame is available, and periodically while waiting for one. Returns true if the caller has disconnected.
    using IdleCheck = std::function<bool()>;

    /// Reads the answer to its end.
    AttemptOutcome run(const Consumer &consume, const IdleCheck &isDisconnected);

private:
    struct ReceivedFrame
    {
        std::string m_bytes;
        Core::ByteReservation m_memory; ///< For m_bytes.
    };

    /// Shared with the call's callbacks, which may outlive this object.
    struct Inbox
    {
        Inbox(std::size_t capacity, std::shared_ptr<Core::ByteBudget> memory)
            : m_memory(std::move(memory))
            , m_frames(capacity)
        {
        }

        void add(std::string frame);

        const std::shared_ptr<Core::ByteBudget> m_memory;
        Core::Ring<ReceivedFrame> m_frames;
        std::atomic<bool> m_overrun = false;
        std::atomic<bool> m_lacksMemory = false;
        std::mutex m_endMutex;
        std::optional<Wire::CallEnd> m_end; ///< Separate from the ring, so that it is not dropped when the ring is full.
    };

    std::optional<Wire::CallEnd> callEnd() const;
    AttemptOutcome makeOutcome(const Wire::CallEnd &end) const;
    Core::Error ambiguousError(const std::string &detail) const;
    /// Returns why frames have been dropped; empty if none were.
    std::optional<Core::Error> lossOfFrames() const;

    Wire::Node &m_node;
    const std::string m_peer;
    const Core::Instant m_deadline;
    Routing::AnswerChecker m_checker;
    std::shared_ptr<Inbox> m_inbox;
    Wire::CallId m_call = 0;
};

/// A question to an agent about the outcome of an attempt.
struct OutcomeQuery
{
    Core::Address m_agent;
    Protocol::OutcomeRequest m_request;
};
Core::Result<Protocol::OutcomeAnswer> queryOutcome(Wire::Node &node, const OutcomeQuery &question, Core::Duration timeout);

}
