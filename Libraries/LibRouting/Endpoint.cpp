/// @file Availability and load estimates of one endpoint.

#include "LibRouting/Endpoint.h"

#include <algorithm>

namespace Routing {

namespace {

/// Added to the load, so that the call time of an idle endpoint still counts in its cost. A full endpoint has a load of 1.
constexpr double IdleCost = 0.5;

}

bool isAvailable(const EndpointView &endpoint, Core::Instant now)
{
    return endpoint.m_healthy && !endpoint.m_member.m_leaving && now - endpoint.m_lastReportTime < ReportTimeout && now >= endpoint.m_avoidUntil;
}

bool attests(const EndpointView &endpoint, const std::string &digest)
{
    if (digest.empty()) {
        return true;
    }
    return std::any_of(endpoint.m_attestations.begin(), endpoint.m_attestations.end(), [&digest](const Protocol::Attestation &attestation) {
        return attestation.m_digest == digest;
    });
}

bool isEligible(const EndpointView &endpoint, const std::string &digest, Core::Instant now)
{
    return isAvailable(endpoint, now) && attests(endpoint, digest);
}

std::uint32_t estimatedRequests(const EndpointView &endpoint)
{
    const std::uint32_t reported = endpoint.m_load.m_running + endpoint.m_load.m_queued;
    const std::uint32_t others = reported - std::min(reported, endpoint.m_outstandingAtReport);
    return others + endpoint.m_outstanding;
}

double estimatedLoad(const EndpointView &endpoint)
{
    return static_cast<double>(estimatedRequests(endpoint)) / std::max(1U, endpoint.m_load.m_capacity);
}

double estimatedCost(const EndpointView &endpoint)
{
    return endpoint.m_meanCallSeconds * (IdleCost + estimatedLoad(endpoint));
}

bool hasFreeSlot(const EndpointView &endpoint)
{
    return estimatedRequests(endpoint) < std::max(1U, endpoint.m_load.m_capacity);
}

}
