/// @file Implementation of the records of endpoints.

#include "LibPlacement/EndpointBook.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr double AverageWeight = 0.1; ///< Of a new answer time in the moving average: about the last ten answers.
constexpr std::uint32_t MaximumDoublings = 5;

void noteLoad(EndpointRecord &entry, std::uint32_t running, std::uint32_t waiting, Core::Instant now)
{
    entry.m_load.m_running = running;
    entry.m_load.m_waiting = waiting;
    entry.m_load.m_sentSince = 0;
    entry.m_reportedAt = now;
}

}

EndpointTracker::EndpointTracker(AvoidanceSettings settings)
    : m_settings(settings)
{
}

EndpointRecord &EndpointTracker::record(const Fleet::Endpoint &endpoint)
{
    EndpointRecord &record = m_records[endpoint.m_id];
    if (record.m_startedMilliseconds != endpoint.m_startedMilliseconds) {
        record = EndpointRecord{};
        record.m_startedMilliseconds = endpoint.m_startedMilliseconds;
    }
    return record;
}

const EndpointRecord &EndpointTracker::look(const Fleet::Endpoint &endpoint) const
{
    static const EndpointRecord unknown{};
    const std::map<std::string, EndpointRecord>::const_iterator found = m_records.find(endpoint.m_id);
    const bool isCurrent = found != m_records.end() && found->second.m_startedMilliseconds == endpoint.m_startedMilliseconds;
    return isCurrent ? found->second : unknown;
}

void EndpointTracker::sent(const Fleet::Endpoint &endpoint)
{
    EndpointRecord &entry = record(endpoint);
    ++entry.m_load.m_sentSince;
    ++entry.m_load.m_open;
}

void EndpointTracker::ended(const Fleet::Endpoint &endpoint)
{
    EndpointRecord &entry = record(endpoint);
    entry.m_load.m_open -= std::min(entry.m_load.m_open, 1U);
    entry.m_load.m_sentSince = std::min(entry.m_load.m_sentSince, entry.m_load.m_open);
}

void EndpointTracker::loadReported(const Fleet::Endpoint &endpoint, std::uint32_t running, std::uint32_t waiting, Core::Instant now)
{
    noteLoad(record(endpoint), running, waiting, now);
}

void EndpointTracker::recordEngineReport(const Fleet::Endpoint &endpoint, const EngineReport &report, Core::Instant now)
{
    EndpointRecord &entry = record(endpoint);
    noteLoad(entry, report.m_running, report.m_waiting, now);
    entry.m_load.m_pace = report.m_pace;
    entry.m_engine = report;
    entry.m_engineReportedAt = now;
}

void EndpointTracker::succeeded(const Fleet::Endpoint &endpoint, double milliseconds)
{
    EndpointRecord &entry = record(endpoint);
    entry.m_failuresInRow = 0;
    entry.m_usualMilliseconds =
        entry.m_usualMilliseconds == 0 ? milliseconds : entry.m_usualMilliseconds + AverageWeight * (milliseconds - entry.m_usualMilliseconds);
}

void EndpointTracker::failed(const Fleet::Endpoint &endpoint, EndpointFailure failure, Core::Instant now)
{
    EndpointRecord &entry = record(endpoint);
    if (failure == EndpointFailure::Refused) {
        entry.m_avoidUntil = std::max(entry.m_avoidUntil, now + m_settings.m_afterRefusal);
        return;
    }
    const std::uint32_t doublings = std::min(entry.m_failuresInRow, MaximumDoublings);
    ++entry.m_failuresInRow;
    const Core::Duration pause = std::min(m_settings.m_longest, m_settings.m_first * (std::int64_t{1} << doublings));
    entry.m_avoidUntil = std::max(entry.m_avoidUntil, now + pause);
}

void EndpointTracker::retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known)
{
    std::erase_if(m_records, [&known](const std::pair<const std::string, EndpointRecord> &entry) { return !known.contains(entry.first); });
}

}
