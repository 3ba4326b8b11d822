/// @file Indices and groups of endpoints.

#include "LibRouting/EndpointTable.h"
#include "LibCore/Random.h"

#include <algorithm>

namespace Routing {

namespace {

/// Weight of the newest call in the moving average of call times.
constexpr double AverageShare = 0.1;

bool servesSameVersions(const EndpointView &endpoint, const Protocol::AgentReport &report)
{
    return endpoint.m_member.m_service == report.m_member.m_service && endpoint.m_attestations == report.m_attestations;
}

}

void EndpointTable::update(const Protocol::AgentReport &report, Core::Instant now)
{
    const std::map<std::string, EndpointIndex>::const_iterator it = m_indexes.find(report.m_member.m_id);
    const bool known = it != m_indexes.end();
    const EndpointIndex index = known ? it->second : static_cast<EndpointIndex>(m_endpoints.size());
    if (!known) {
        m_indexes[report.m_member.m_id] = index;
        m_endpoints.emplace_back();
        m_endpoints[index].m_hash = Core::stableHash(report.m_member.m_id);
    }
    EndpointView &endpoint = m_endpoints[index];
    if (endpoint.m_member.m_incarnation != report.m_member.m_incarnation) {
        const std::uint64_t hash = endpoint.m_hash;
        endpoint = EndpointView();
        endpoint.m_hash = hash;
    } else if (report.m_sequence <= endpoint.m_sequence && known) {
        return;
    }
    const bool regroup = !known || !servesSameVersions(endpoint, report);
    endpoint.m_member = report.m_member;
    endpoint.m_sequence = report.m_sequence;
    endpoint.m_healthy = report.m_endpointHealthy;
    endpoint.m_attestations = report.m_attestations;
    endpoint.m_load = report.m_load;
    endpoint.m_lastReportTime = now;
    endpoint.m_outstandingAtReport = endpoint.m_outstanding;
    if (regroup) {
        rebuildGroups();
    }
}

void EndpointTable::remove(const std::string &instance)
{
    const std::map<std::string, EndpointIndex>::const_iterator it = m_indexes.find(instance);
    if (it == m_indexes.end()) {
        return;
    }
    m_endpoints[it->second].m_attestations.clear();
    markUnavailable(instance);
    rebuildGroups();
}

void EndpointTable::markUnavailable(const std::string &instance)
{
    const std::map<std::string, EndpointIndex>::const_iterator it = m_indexes.find(instance);
    if (it == m_indexes.end()) {
        return;
    }
    EndpointView &endpoint = m_endpoints[it->second];
    endpoint.m_healthy = false;
    endpoint.m_sequence = 0;
}

const EndpointView *EndpointTable::find(const std::string &instance) const
{
    const std::map<std::string, EndpointIndex>::const_iterator it = m_indexes.find(instance);
    return it == m_indexes.end() ? nullptr : &m_endpoints[it->second];
}

std::span<const EndpointIndex> EndpointTable::group(const GroupKey &key) const
{
    const std::map<GroupKey, std::vector<EndpointIndex>>::const_iterator it = m_groups.find(key);
    return it == m_groups.end() ? std::span<const EndpointIndex>() : std::span<const EndpointIndex>(it->second);
}

std::size_t EndpointTable::countAvailable(const GroupKey &key, Core::Instant now) const
{
    const std::span<const EndpointIndex> members = group(key);
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [this, now](EndpointIndex index) { return isAvailable(m_endpoints[index], now); }));
}

std::size_t EndpointTable::countServiceAvailable(const std::string &service, Core::Instant now) const
{
    return countAvailable(GroupKey{service, ""}, now);
}

void EndpointTable::onCallStarted(EndpointIndex index)
{
    m_endpoints[index].m_outstanding += 1;
}

void EndpointTable::onCallEnded(EndpointIndex index, const std::string &incarnation, double seconds)
{
    EndpointView &endpoint = m_endpoints[index];
    if (endpoint.m_member.m_incarnation != incarnation) {
        return;
    }
    endpoint.m_outstanding -= std::min(1U, endpoint.m_outstanding);
    endpoint.m_outstandingAtReport = std::min(endpoint.m_outstandingAtReport, endpoint.m_outstanding + 1);
    if (seconds < 0) {
        return;
    }
    endpoint.m_meanCallSeconds = endpoint.m_meanCallSeconds == 0 ? seconds : (1 - AverageShare) * endpoint.m_meanCallSeconds + AverageShare * seconds;
}

void EndpointTable::avoid(EndpointIndex index, Core::Instant until)
{
    m_endpoints[index].m_avoidUntil = std::max(m_endpoints[index].m_avoidUntil, until);
}

void EndpointTable::rebuildGroups()
{
    m_groups.clear();
    for (EndpointIndex index = 0; index < m_endpoints.size(); ++index) {
        const EndpointView &endpoint = m_endpoints[index];
        m_groups[GroupKey{endpoint.m_member.m_service, ""}].push_back(index);
        for (const Protocol::Attestation &attestation : endpoint.m_attestations) {
            m_groups[GroupKey{endpoint.m_member.m_service, attestation.m_digest}].push_back(index);
        }
    }
}

}
