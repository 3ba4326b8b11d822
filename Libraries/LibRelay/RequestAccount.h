/// @file Counts ended requests by the cause of their outcome, so that a log accounts for every request although most successes are not logged one by one.
#pragma once

#include "LibCore/Clock.h"
#include "LibTelemetry/EventLog.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace Relay {

/// Outcome of a request and its main cause. A late answer has its first byte after the latency objective, or a pause longer than the objective for pauses.
enum class EndCause {
    InTime,
    LateReturned, ///< The objective had passed before the request arrived; its caller was probably refused before.
    LateWaited, ///< It waited for a slot in this process for more than half of the time to the first byte.
    LateRetried, ///< An earlier attempt failed.
    LateForecast, ///< It was sent although its answer was expected to be late.
    LateEndpoint, ///< The endpoint was slower than expected.
    LatePauseMoved, ///< The stream paused while it moved to another endpoint.
    LatePause, ///< The endpoint paused.
    RefusedFirst, ///< Refused on what was probably the caller's first try.
    RefusedAgain, ///< Refused after the objective of the caller's first try had passed.
    Cut, ///< The answer was interrupted after its head had been forwarded.
    Failed, ///< Ended with an error after which the request may have run.
    CallerLeft,
    Rejected, ///< The request itself was not acceptable, for example without a route or a key.
};

inline constexpr std::size_t EndCauseCount = 14;

/// Returns the name of the cause in logs.
std::string_view endCauseName(EndCause cause);

enum class RequestOutcome {
    Answered,
    Refused,
    Failed,
    CallerLeft,
    Rejected,
};

/// What is known of a request when it ends. Times are relative to its arrival unless stated otherwise.
struct RequestEnd
{
    RequestOutcome m_outcome = RequestOutcome::Answered;
    bool m_isHeadForwarded = false;
    Core::Duration m_goal{0}; ///< Latency objective; 0 if there is none.
    Core::Duration m_gapGoal{0}; ///< Objective for pauses; 0 if there is none.
    Core::Duration m_elapsedBefore{0}; ///< Estimated time from the caller's first try to the arrival.
    Core::Duration m_waited{0}; ///< Time spent waiting for slots in this process.
    Core::Duration m_firstByte{0};
    Core::Duration m_expectedFirstByte{0}; ///< As expected when the last attempt was sent.
    Core::Duration m_longestPause{0};
    std::uint32_t m_attempts = 0;

    bool operator==(const RequestEnd &) const = default;
};

EndCause endCause(const RequestEnd &end);

/// Counts since the last log line. Used by one thread.
class RequestAccount
{
public:
    void record(EndCause cause);
    /// Writes a line with the counts if the last one is old enough or @p isFinal is set, and something was counted. Counts of a dropped line go into the next.
    void writeIfDue(Telemetry::EventLog &log, Core::Instant now, bool isFinal = false);

private:
    std::array<std::int64_t, EndCauseCount> m_counts{};
    std::int64_t m_total = 0; ///< Sum of m_counts.
    std::int64_t m_sequence = 0; ///< Of the next line. A gap shows that a line is missing.
    Core::Instant m_writtenAt;
};

}
