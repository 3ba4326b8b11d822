/// @file The course of one call that may not be repeated, as a pure state machine: what to do next, and what to tell the caller.
#pragma once

#include "LibClaims/ClaimTable.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Claims {

/// What the caller is told in the end.
enum class CallVerdict {
    Answered, ///< The outcome of the one run under the key.
    NotRun, ///< This call has not run and will not; the same key may be tried again.
    KeyUsed, ///< Another attempt holds the key, and its outcome could not be had.
    KeyExpired,
    OutcomeUnknown, ///< It was sent, and what came of it cannot be known.
};

// What the entry is to do.

/// Claim the key for the attempt.
struct WriteClaim
{
    std::string m_attempt;

    bool operator==(const WriteClaim &) const = default;
};
/// Send the attempt to the agent that its claim names. Asked for at most once in the life of an attempt.
struct Dispatch
{
    std::string m_attempt;

    bool operator==(const Dispatch &) const = default;
};
/// Ask an agent what became of an attempt.
struct QueryOutcome
{
    std::string m_attempt;
    bool m_isOwn = true; ///< The entry's own attempt, at the agent it was sent to; else that of m_winner.
    Claim m_holder;
    bool m_isDelayed = false; ///< It was running a moment ago: wait before asking.

    bool operator==(const QueryOutcome &) const = default;
};
/// Write a bar on the attempt, then report that.
struct WriteTombstone
{
    std::string m_attempt;

    bool operator==(const WriteTombstone &) const = default;
};
/// Tell the caller.
struct ReportVerdict
{
    CallVerdict m_verdict = CallVerdict::NotRun;

    bool operator==(const ReportVerdict &) const = default;
};

using Action = std::variant<WriteClaim, Dispatch, QueryOutcome, WriteTombstone, ReportVerdict>;

// What happened.

struct ClaimDecided
{
    ClaimResult m_result;
};
/// The claim got no result: the writer or the log is out of reach. It may still land, but is worth nothing without a dispatch.
struct ClaimFailed
{
};
/// A whole answer to the dispatched attempt arrived.
struct CompleteAnswer
{
};
/// The dispatch ended, and it is certain that the attempt did not run and will not: nothing was sent, or the agent has refused it.
struct AttemptNotRun
{
};
/// The dispatch ended without a whole answer.
struct AnswerIncomplete
{
};
struct OutcomeReceived
{
    Protocol::Outcome m_outcome = Protocol::Outcome::Unknown;
};
/// The agent could not be asked.
struct OutcomeUnavailable
{
};
struct TombstoneWritten
{
};
struct TombstoneFailed
{
};
/// The call's time is over.
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

/// How often one call may claim its key anew after an agent has confirmed that the holder never ran.
inline constexpr std::uint32_t MaximumReclaims = 2;

enum class CallPhase {
    Claiming,
    Dispatched,
    QueryingOwn,
    QueryingHolder,
    WritingTombstone, ///< The holder never ran; its bar is being written, after which the key is claimed anew.
    Finished,
};

/// Where one call stands. m_sent is the promise's hinge: once true, "not run" needs proof.
struct CallState
{
    CallPhase m_phase = CallPhase::Claiming;
    std::string m_attempt; ///< Of this entry.
    bool m_dispatched = false; ///< m_attempt was handed to the network, and nothing has proved since that it did not run.
    Claim m_holder; ///< Holder of the key, while it is another.
    std::uint32_t m_reclaims = 0;

    bool operator==(const CallState &) const = default;
};

/// The state and the first thing to do.
struct Step
{
    CallState m_state;
    Action m_action;

    bool operator==(const Step &) const = default;
};

Step beginCall(const std::string &attempt);

/// What follows from an event. @p nextAttempt is a fresh id, used if the key is claimed anew.
Step advanceCall(const CallState &state, const Event &event, const std::string &nextAttempt);

}
