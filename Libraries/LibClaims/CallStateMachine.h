/// @file Pure state machine of one keyed call, which must not run twice: it determines the next action and the caller's result.
#pragma once

#include "LibClaims/ClaimTable.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Claims {

/// Final result of a call, as reported to the caller.
enum class CallVerdict {
    Answered, ///< The caller gets the outcome of the single execution under the key.
    NotRun, ///< This call has not run and will not run; the caller may retry with the same key.
    KeyUsed, ///< Another attempt holds the key, and its outcome is not available.
    KeyExpired,
    OutcomeUnknown, ///< An attempt was sent, and its outcome cannot be determined.
};

// Actions for the entry to perform.

/// Claim the key for the attempt.
struct WriteClaim
{
    std::string m_attempt;

    bool operator==(const WriteClaim &) const = default;
};
/// Send the attempt to the agent that its claim names. Requested at most once for each attempt.
struct Dispatch
{
    std::string m_attempt;

    bool operator==(const Dispatch &) const = default;
};
/// Ask an agent for the outcome of an attempt.
struct QueryOutcome
{
    std::string m_attempt;
    bool m_isOwn = true; ///< The attempt is this call's own, at the agent that it was sent to; otherwise it is that of m_holder.
    Claim m_holder;
    bool m_isDelayed = false; ///< The attempt was still running at the last query: wait before asking again.

    bool operator==(const QueryOutcome &) const = default;
};
/// Write a tombstone for the attempt to the log.
struct WriteTombstone
{
    std::string m_attempt;

    bool operator==(const WriteTombstone &) const = default;
};
/// End the call and report its final result to the caller.
struct ReportVerdict
{
    CallVerdict m_verdict = CallVerdict::NotRun;

    bool operator==(const ReportVerdict &) const = default;
};

using Action = std::variant<WriteClaim, Dispatch, QueryOutcome, WriteTombstone, ReportVerdict>;

// Events that the entry reports back.

/// The claim was read back from the log with this result.
struct ClaimDecided
{
    ClaimResult m_result;
};
/// The claim got no result because the writer or the log is unreachable. It may still be appended to the log, but the call ends without sending the attempt,
/// so nothing runs.
struct ClaimFailed
{
};
/// A complete answer to the dispatched attempt arrived.
struct CompleteAnswer
{
};
/// The dispatch ended, and the attempt is guaranteed not to have run and not to run later: nothing was sent, or the agent refused it.
struct AttemptNotRun
{
};
/// The dispatch ended without a complete answer; the attempt may have run.
struct AnswerIncomplete
{
};
/// The agent answered an outcome query.
struct OutcomeReceived
{
    Protocol::Outcome m_outcome = Protocol::Outcome::Unknown;
};
/// The agent did not answer the outcome query.
struct OutcomeUnavailable
{
};
struct TombstoneWritten
{
};
struct TombstoneFailed
{
};
/// The call's deadline has passed.
struct DeadlinePassed
{
};

using Event = std::variant<ClaimDecided,
                           ClaimFailed,
                           CompleteAnswer,
                           AttemptNotRun,
                           AnswerIncomplete,
                           OutcomeReceived,
                           OutcomeUnavailable,
                           TombstoneWritten,
                           TombstoneFailed,
                           DeadlinePassed>;

/// How often one call may claim its key again after an agent has confirmed that the holder never ran.
inline constexpr std::uint32_t MaximumReclaims = 2;

enum class CallPhase {
    Claiming,
    Dispatched,
    QueryingOwn,
    QueryingHolder,
    WritingTombstone, ///< The holder never ran; its tombstone is being written, after which the key is claimed again.
    Finished,
};

/// State of one call. While m_dispatched is true, the call must not end as "not run".
struct CallState
{
    CallPhase m_phase = CallPhase::Claiming;
    std::string m_attempt; ///< The call's own current attempt.
    bool m_dispatched = false; ///< m_attempt was passed to the network and may have run or may still run. Reset once it is certain that it never runs.
    Claim m_holder; ///< Claim of the other attempt that holds the key, if any.
    std::uint32_t m_reclaims = 0; ///< At most MaximumReclaims.

    bool operator==(const CallState &) const = default;
};

/// A state and the action to perform in it.
struct Step
{
    CallState m_state;
    Action m_action;

    bool operator==(const Step &) const = default;
};

/// Starts a call whose first attempt has the given id.
Step beginCall(const std::string &attempt);

/// Returns the step that follows an event. @p nextAttempt is a new id, used if the key is claimed again.
Step advanceCall(const CallState &state, const Event &event, const std::string &nextAttempt);

}
