/// @file Implementation of the endpoint tracker.

#include "LibPlacement/EndpointTracker.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr double AverageWeight = 0.1; ///< Weight of a new answer time in the moving average, which covers about the last ten answers.
constexpr std::uint32_t MaximumDoublings = 5;

void updateLoad(EndpointRecord &entry, std::uint32_t running, std::uint32_t waiting, Core::Instant now)
{
    entry.m_load.m_running = running;
    entry.m_load.m_waiting = waiting;
    entry.m_load.m_sentSinceReport = 0;
    entry.m_reportedAt = now;
}

}

EndpointTracker::EndpointTracker(AvoidanceSettings settings, BackoffSettings backoffSettings)
    : m_settings(settings)
    , m_backoffSettings(backoffSettings)
{
}

EndpointRecord &EndpointTracker::getOrCreate(const Fleet::Endpoint &endpoint)
{
    EndpointRecord &record = m_records[endpoint.m_id];
    if (record.m_startedMilliseconds != endpoint.m_startedMilliseconds) {
        record = EndpointRecord{};
        record.m_startedMilliseconds = endpoint.m_startedMilliseconds;
    }
    return record;
}

const EndpointRecord &EndpointTracker::get(const Fleet::Endpoint &endpoint) const
{
    static const EndpointRecord unknown{};
    const std::map<std::string, EndpointRecord>::const_iterator found = m_records.find(endpoint.m_id);
    const bool isCurrent = found != m_records.end() && found->second.m_startedMilliseconds == endpoint.m_startedMilliseconds;
    return isCurrent ? found->second : unknown;
}

void EndpointTracker::recordSent(const Fleet::Endpoint &endpoint, Core::Instant now)
{
    EndpointRecord &entry = getOrCreate(endpoint);
    entry.m_backoff = backoffAfterSend(entry.m_backoff, now, m_backoffSettings);
    ++entry.m_load.m_sentSinceReport;
    ++entry.m_load.m_inFlight;
}

void EndpointTracker::recordEnded(const Fleet::Endpoint &endpoint)
{
    EndpointRecord &entry = getOrCreate(endpoint);
    entry.m_load.m_inFlight -= std::min(entry.m_load.m_inFlight, 1U);
    entry.m_load.m_sentSinceReport = std::min(entry.m_load.m_sentSinceReport, entry.m_load.m_inFlight);
}

void EndpointTracker::recordLoad(const Fleet::Endpoint &endpoint, std::uint32_t running, std::uint32_t waiting, Core::Instant now)
{
    updateLoad(getOrCreate(endpoint), running, waiting, now);
}

void EndpointTracker::recordEngineReport(const Fleet::Endpoint &endpoint, const EngineReport &report, Core::Instant now)
{
    EndpointRecord &entry = getOrCreate(endpoint);
    updateLoad(entry, report.m_running, report.m_waiting, now);
    entry.m_load.m_pace = report.m_pace;
    entry.m_engineReport = report;
    entry.m_engineReportedAt = now;
}

void EndpointTracker::recordSuccess(const Fleet::Endpoint &endpoint)
{
    getOrCreate(endpoint).m_consecutiveFailures = 0;
}

void EndpointTracker::recordAnswerTime(const Fleet::Endpoint &endpoint, double milliseconds)
{
    EndpointRecord &entry = getOrCreate(endpoint);
    entry.m_averageMilliseconds =
        entry.m_averageMilliseconds == 0 ? milliseconds : entry.m_averageMilliseconds + AverageWeight * (milliseconds - entry.m_averageMilliseconds);
}

void EndpointTracker::recordFailure(const Fleet::Endpoint &endpoint, EndpointFailure failure, Core::Instant now)
{
    EndpointRecord &entry = getOrCreate(endpoint);
    if (failure == EndpointFailure::Refused) {
        entry.m_avoidUntil = std::max(entry.m_avoidUntil, now + m_settings.m_afterRefusal);
        return;
    }
    const std::uint32_t doublings = std::min(entry.m_consecutiveFailures, MaximumDoublings);
    ++entry.m_consecutiveFailures;
    const Core::Duration pause = std::min(m_settings.m_maximum, m_settings.m_initial * (std::int64_t{1} << doublings));
    entry.m_avoidUntil = std::max(entry.m_avoidUntil, now + pause);
}

Backoff EndpointTracker::recordBackoff(const Fleet::Endpoint &endpoint, Core::Duration asked, Core::Duration spread, Core::Instant now)
{
    EndpointRecord &entry = getOrCreate(endpoint);
    entry.m_backoff = extendedBackoff(entry.m_backoff, asked, spread, now, m_backoffSettings);
    return entry.m_backoff;
}

std::size_t EndpointTracker::backedOffCount(Core::Instant now) const
{
    return static_cast<std::size_t>(std::count_if(
        m_records.begin(), m_records.end(), [now](const std::pair<const std::string, EndpointRecord> &entry) { return entry.second.m_backoff.m_end > now; }));
}

void EndpointTracker::retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known, Core::Instant now)
{
    std::erase_if(m_records, [&known, now](const std::pair<const std::string, EndpointRecord> &entry) {
        return !known.contains(entry.first) && entry.second.m_backoff.m_end <= now;
    });
}

}
