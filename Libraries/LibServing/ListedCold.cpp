/// @file Implementation of the comparison of the list with the budget for cold endpoints.

#include "LibServing/ListedCold.h"

namespace Serving {

bool recordCold(const Fleet::Endpoint &endpoint, const Fleet::FleetState &state, Placement::ColdBudget &budget, Core::Instant now)
{
    const Fleet::Service *service = state.configuration() ? state.configuration()->service(endpoint.m_service) : nullptr;
    if (!service || service->m_coldRequestsPerSecond <= 0) {
        return false;
    }
    const Core::Duration duration(static_cast<std::int64_t>(service->m_coldSeconds * 1000));
    budget.recordCold(endpoint, service->m_coldRequestsPerSecond, duration, now);
    return true;
}

ListedCold recordListedCold(const ListedCold &before, const Fleet::FleetState &state, Placement::ColdBudget &budget, Core::Instant now)
{
    ListedCold listed;
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : state.endpoints()) {
        const Fleet::Endpoint &endpoint = entry.second.m_endpoint;
        const ListedCold::const_iterator known = before.find(entry.first);
        const bool isKnown = known != before.end() && known->second == endpoint.m_startedMilliseconds;
        if (endpoint.m_isCold && (isKnown || recordCold(endpoint, state, budget, now))) {
            listed[entry.first] = endpoint.m_startedMilliseconds;
        }
    }
    return listed;
}

}
