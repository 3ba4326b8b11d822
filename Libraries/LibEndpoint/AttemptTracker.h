/// @file At most one run for each call that may not be repeated, and truthful answers about what became of it. Pure.
#pragma once

#include "LibCore/Error.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Endpoint {

/// Names one attempt, and the agent's life and report that the entry had seen when it sent it.
struct AttemptTag
{
    std::string m_attempt;
    std::string m_key;
    std::string m_incarnation; ///< Of the agent that the attempt was meant for; empty if the entry did not say.
    std::uint64_t m_reportSequence = 0; ///< Newest report of that agent which the entry had seen.

    bool operator==(const AttemptTag &) const = default;
};

/// What is to be done with a call that has arrived.
enum class Admission {
    Admitted, ///< It waits for begin().
    Duplicate, ///< The attempt arrived earlier; it must not run again, outcome() tells what became of it.
    Tombstoned, ///< It was cancelled or asked after before it arrived; it never runs.
    KeyInUse, ///< Another attempt with the same key was admitted here.
    PossiblyForgotten, ///< It may have been forgotten here, so it may have run.
    OtherIncarnation, ///< It was meant for an earlier life of this agent.
    Full, ///< Too many attempts are open; it never runs.
};

struct AttemptTrackerLimits
{
    std::size_t m_maximumAttempts = 65536; ///< Attempts that are remembered, open ones included.
    std::size_t m_maximumStoredAnswerBytes = 16 << 20; ///< Sum of the stored answers.
    std::size_t m_maximumBytesPerAnswer = 1 << 20; ///< A longer answer is not stored.
};

/**
 * State machine of the attempts at calls that may not be repeated.
 *
 * An attempt can arrive twice, after its cancellation, or after the entry has asked what became of it and told its caller.
 * The caller would see a booking made twice, or one made that was reported as not run. Therefore each attempt moves one way only:
 * admitted, then begun at most once, then closed; and a question about an attempt that never arrived closes it as barred.
 *
 * Eviction: closed attempts are forgotten in the order in which they closed, once there are too many; stored answers likewise.
 * An attempt whose answer was dropped is Unknown. What is forgotten altogether raises the horizon: an attempt that was sent on the strength of a
 * report at or below it may be a forgotten one, so its outcome is Unknown, never NeverRan, and its late arrival is refused.
 * That no forgotten attempt had the same key is the claims' matter, which outlast every agent.
 * Nothing is kept over a restart: attempts meant for another life are Unknown.
 */
class AttemptTracker
{
public:
    AttemptTracker(std::string incarnation, AttemptTrackerLimits limits);

    /// A call has arrived.
    Admission admit(const AttemptTag &tag);
    /// The call is about to be handed to the endpoint. False if it was cancelled meanwhile; it must not be handed over then.
    bool tryBegin(const std::string &attempt);
    /// The endpoint was never reached; the attempt will not run.
    void recordNotRun(const std::string &attempt);
    /// The endpoint's whole answer has arrived.
    void recordAnswer(const std::string &attempt, std::int32_t status, std::string body);
    /// The endpoint may have acted, but its answer is lost.
    void recordLostAnswer(const std::string &attempt);
    /// The entry no longer wants the call. One that has begun goes on; any other is barred.
    void cancel(const AttemptTag &tag);
    /// What became of an attempt; one that never arrived is barred from now on.
    Protocol::OutcomeAnswer outcome(const AttemptTag &tag);

    std::size_t rememberedAttempts() const;
    std::size_t storedAnswerBytes() const;
    std::size_t openAttempts() const;

private:
    enum class State {
        Waiting,
        Begun,
        Finished,
        AnswerLost, ///< Also a finished one whose answer was dropped.
        Tombstoned,
    };

    struct Record
    {
        State m_state = State::Waiting;
        std::string m_key;
        std::uint64_t m_reportSequence = 0;
        std::int32_t m_status = 0;
        std::string m_body; ///< Only if Finished.
    };

    Record *find(const std::string &attempt);
    bool isPossiblyForgotten(const AttemptTag &tag) const;
    void addTombstone(const AttemptTag &tag);
    void close(const std::string &attempt, Record &record, State state);
    void evictOldest();
    void evictAnswers();

    std::string m_incarnation;
    AttemptTrackerLimits m_limits;
    std::unordered_map<std::string, Record> m_records; ///< By attempt; open ones and those in m_closed.
    std::unordered_map<std::string, std::string> m_attemptByKey; ///< Attempts that were admitted and not barred or withdrawn.
    std::deque<std::string> m_closedAttempts; ///< In the order of closing; each closed attempt once.
    std::deque<std::string> m_attemptsWithAnswer; ///< Attempts with a stored answer, oldest first; may name forgotten ones.
    std::size_t m_storedAnswerBytes = 0; ///< Sum of the stored bodies; at most m_maximumAnswerBytes after each change.
    std::optional<std::uint64_t> m_horizon; ///< Highest report number among the forgotten attempts; never goes down.
};

}
