/// @file Implementation of the account of ended requests.

#include "LibRelay/RequestAccount.h"

namespace Relay {

namespace {

constexpr Core::Duration LineInterval{1000};

EndCause lateCause(const RequestEnd &end)
{
    if (end.m_elapsedBefore >= end.m_goal) {
        return EndCause::LateReturned;
    }
    if (end.m_waited * 2 > end.m_firstByte) {
        return EndCause::LateWaited;
    }
    if (end.m_attempts > 1) {
        return EndCause::LateRetried;
    }
    return end.m_elapsedBefore + end.m_expectedFirstByte > end.m_goal ? EndCause::LateForecast : EndCause::LateEndpoint;
}

EndCause answeredCause(const RequestEnd &end)
{
    if (end.m_goal.count() > 0 && end.m_elapsedBefore + end.m_firstByte > end.m_goal) {
        return lateCause(end);
    }
    if (end.m_gapGoal.count() > 0 && end.m_longestPause > end.m_gapGoal) {
        return end.m_attempts > 1 ? EndCause::LatePauseMoved : EndCause::LatePause;
    }
    return EndCause::InTime;
}

}

std::string_view endCauseName(EndCause cause)
{
    constexpr std::array<std::string_view, EndCauseCount> names{"in_time",
                                                                "late_returned",
                                                                "late_waited",
                                                                "late_retried",
                                                                "late_forecast",
                                                                "late_endpoint",
                                                                "late_pause_moved",
                                                                "late_pause",
                                                                "refused_first",
                                                                "refused_again",
                                                                "cut",
                                                                "failed",
                                                                "caller_left",
                                                                "rejected"};
    return names.at(static_cast<std::size_t>(cause));
}

EndCause endCause(const RequestEnd &end)
{
    switch (end.m_outcome) {
    case RequestOutcome::Answered:
        return answeredCause(end);
    case RequestOutcome::Refused:
        return end.m_goal.count() > 0 && end.m_elapsedBefore >= end.m_goal ? EndCause::RefusedAgain : EndCause::RefusedFirst;
    case RequestOutcome::Failed:
        return end.m_isHeadForwarded ? EndCause::Cut : EndCause::Failed;
    case RequestOutcome::CallerLeft:
        return EndCause::CallerLeft;
    case RequestOutcome::Rejected:
        break;
    }
    return EndCause::Rejected;
}

void RequestAccount::record(EndCause cause)
{
    ++m_counts.at(static_cast<std::size_t>(cause));
    ++m_total;
}

void RequestAccount::writeIfDue(Telemetry::EventLog &log, Core::Instant now, bool isFinal)
{
    if (m_total == 0 || (!isFinal && now - m_writtenAt < LineInterval)) {
        return;
    }
    Telemetry::LogLine line("requests_ended");
    line.number("sequence", m_sequence).number("total", m_total);
    for (std::size_t index = 0; index < EndCauseCount; ++index) {
        if (m_counts[index] > 0) {
            line.number(endCauseName(static_cast<EndCause>(index)), m_counts[index]);
        }
    }
    if (!log.write(line)) {
        return;
    }
    ++m_sequence;
    m_writtenAt = now;
    m_counts = {};
    m_total = 0;
}

}
