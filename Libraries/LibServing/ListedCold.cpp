/// @file Implementation of the comparison of the list with the budget for cold endpoints.

#include "LibServing/ListedCold.h"

namespace Serving {

namespace {

/// Returns the service of the endpoint if it states what cold endpoints take; null otherwise.
const Fleet::Service *serviceWithColdRate(const Fleet::Endpoint &endpoint, const Fleet::FleetState &state)
{
    const Fleet::Service *service = state.configuration() ? state.configuration()->service(endpoint.m_service) : nullptr;
    return service && service->m_coldRequestsPerSecond > 0 ? service : nullptr;
}

/// Returns until when an endpoint that the list calls cold counts as cold, unless the list calls it warm before.
Core::Instant coldLimitEnd(const Fleet::KnownEndpoint &known)
{
    return known.m_coldUntil ? *known.m_coldUntil + ColdStatementDelay : Core::Instant::max();
}

}

std::vector<ColdStatement> recordListedCold(const Fleet::FleetState &state, Placement::ColdBudget &budget)
{
    std::vector<ColdStatement> changes;
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : state.endpoints()) {
        const Fleet::Endpoint &endpoint = entry.second.m_endpoint;
        const Fleet::Service *service = serviceWithColdRate(endpoint, state);
        if (!service) {
            budget.recordUnlimited(endpoint);
            continue;
        }
        const std::optional<Core::Instant> coldUntil = endpoint.m_isCold ? std::optional<Core::Instant>(coldLimitEnd(entry.second)) : std::nullopt;
        if (budget.recordStated(endpoint, service->m_coldRequestsPerSecond, coldUntil)) {
            changes.push_back(ColdStatement{entry.first, endpoint.m_isCold, entry.second.m_coldUntil});
        }
    }
    return changes;
}

void suspectCold(const Fleet::Endpoint &endpoint, const Fleet::FleetState &state, Placement::ColdBudget &budget, Core::Instant now)
{
    const Fleet::Service *service = serviceWithColdRate(endpoint, state);
    if (service) {
        const Core::Duration duration(static_cast<std::int64_t>(service->m_coldSeconds * 1000));
        budget.recordSuspected(endpoint, service->m_coldRequestsPerSecond, now + duration);
    }
}

}
