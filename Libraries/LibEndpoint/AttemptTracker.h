/// @file Ensures that each call that must not be repeated runs at most once, and reports its outcome. Pure.
#pragma once

#include "LibCore/Error.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace Endpoint {

/// Identifies an attempt, with the agent incarnation and report that the entry knew when it sent the attempt.
struct AttemptTag
{
    std::string m_attempt;
    std::string m_key;
    std::string m_incarnation; ///< Incarnation of the agent that the attempt was sent to; empty if the entry did not specify it.
    std::uint64_t m_reportSequence = 0; ///< Sequence number of that agent's newest report at the entry.

    bool operator==(const AttemptTag &) const = default;
};

/// Result of admitting an incoming call.
enum class Admission {
    Admitted, ///< It is waiting for tryBegin().
    Duplicate, ///< The attempt has arrived before and must not run again; see outcome().
    Tombstoned, ///< It was cancelled, or its outcome was requested, before it arrived; it never runs.
    KeyInUse, ///< Another attempt with the same key has been admitted here.
    PossiblyForgotten, ///< Its record may have been evicted, so it may already have run.
    OtherIncarnation, ///< It was sent to another incarnation of this agent.
    Full, ///< Too many attempts are open; it does not run.
};

struct AttemptTrackerLimits
{
    std::size_t m_maximumAttempts = 65536; ///< Attempts with a record, including open ones.
    std::size_t m_maximumStoredAnswerBytes = 16 << 20; ///< Total size of the stored answers.
    std::size_t m_maximumBytesPerAnswer = 1 << 20; ///< Longer answers are not stored.
};

/**
 * State machine of attempts at calls that must not be repeated.
 *
 * An attempt can arrive twice, after its cancellation, or after the entry has requested its outcome and passed it to the caller.
 * The caller could then see, for example, a booking made twice, or a booking that was made although it was reported as not run. Therefore the state of an
 * attempt only moves forward: admitted, begun at most once, closed. A request for the outcome of an attempt that has not arrived leaves a
 * tombstone, so that the attempt never runs.
 *
 * Eviction: when there are too many records, closed attempts are evicted in the order in which they were closed. Stored answers are evicted
 * oldest first; an attempt without its answer is Unknown. Evicting a record raises the horizon. An attempt that was sent when the entry had
 * only seen reports up to the horizon may be an evicted one, so its outcome is Unknown and never NeverRan, and its late arrival is refused.
 * The key of an evicted attempt is not checked here: the claims, which outlive every agent, guard against its reuse.
 * Nothing survives a restart: attempts sent to another incarnation are Unknown.
 */
class AttemptTracker
{
public:
    AttemptTracker(std::string incarnation, AttemptTrackerLimits limits);

    /// Registers an incoming call.
    Admission admit(const AttemptTag &tag);
    /// Marks a waiting attempt as begun; called before it is sent to the endpoint.
    /// Returns false if it is no longer waiting, for example because it was cancelled. It must not be sent then.
    bool tryBegin(const std::string &attempt);
    /// Records that the endpoint was not reached, so that the attempt never runs.
    void recordNotRun(const std::string &attempt);
    /// Records the endpoint's complete answer.
    void recordAnswer(const std::string &attempt, std::int32_t status, std::string body);
    /// Records that the endpoint may have run the attempt but that its answer was lost.
    void recordLostAnswer(const std::string &attempt);
    /// Cancels an attempt. One that has begun keeps running; any other never runs.
    void cancel(const AttemptTag &tag);
    /// Returns the outcome of an attempt. One that has not arrived yet is tombstoned and never runs.
    Protocol::OutcomeAnswer outcome(const AttemptTag &tag);

    std::size_t rememberedAttempts() const;
    std::size_t storedAnswerBytes() const;
    std::size_t openAttempts() const;

private:
    enum class State {
        Waiting,
        Begun,
        Finished,
        AnswerLost, ///< Also a finished attempt whose answer was evicted.
        Tombstoned,
    };

    struct Record
    {
        State m_state = State::Waiting;
        std::string m_key;
        std::uint64_t m_reportSequence = 0;
        std::int32_t m_status = 0;
        std::string m_body; ///< Empty unless Finished.
    };

    Record *find(const std::string &attempt);
    bool isPossiblyForgotten(const AttemptTag &tag) const;
    void addTombstone(const AttemptTag &tag);
    void close(const std::string &attempt, Record &record, State state);
    void evictOldest();
    void evictAnswers();

    std::string m_incarnation;
    AttemptTrackerLimits m_limits;
    std::unordered_map<std::string, Record> m_records; ///< By attempt; the open attempts and those in m_closedAttempts.
    std::unordered_map<std::string, std::string> m_attemptByKey; ///< Attempt by key, for admitted attempts that are not tombstoned.
    std::deque<std::string> m_closedAttempts; ///< In the order in which they were closed; each closed attempt once.
    std::deque<std::string> m_attemptsWithAnswer; ///< Attempts with a stored answer, oldest first; may contain evicted attempts.
    std::size_t m_storedAnswerBytes = 0; ///< Total size of the stored bodies; at most m_maximumStoredAnswerBytes after each change.
    std::optional<std::uint64_t> m_horizon; ///< Highest report sequence number among the evicted attempts; never decreases.
};

}
