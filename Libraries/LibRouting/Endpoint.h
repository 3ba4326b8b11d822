/// @file What an entry knows of one endpoint, and the rules that follow from that alone.
#pragma once

#include "LibCore/Clock.h"
#include "LibProtocol/Report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// Time without a report after which an endpoint's agent counts as gone. Reports come at least once a second.
inline constexpr Core::Duration ReportTimeout{3500};

/// One endpoint as the entry sees it. The load is as old as the report; the outstanding work is the entry's own and exact.
struct EndpointView
{
    Protocol::Member m_member; ///< The agent beside the endpoint.
    std::uint64_t m_sequence = 0; ///< Of the newest report of this incarnation.
    bool m_healthy = false;
    std::vector<Protocol::Attestation> m_attestations;
    Protocol::EndpointLoad m_load;
    Core::Instant m_lastReportTime;
    Core::Instant m_avoidUntil; ///< No new work before this, after a failed call.
    std::uint32_t m_outstanding = 0; ///< Calls of this entry that have not ended.
    std::uint32_t m_outstandingAtReport = 0; ///< m_outstanding when the newest report came: what the reported load already contains.
    double m_meanCallSeconds = 0; ///< Moving average of the time of this entry's calls; 0 before the first.
    std::uint64_t m_hash = 0; ///< Stable hash of the instance's name, for rendezvous.

    bool operator==(const EndpointView &) const = default;
};

/// True if the endpoint itself may take new work: heard of lately, healthy, not leaving and not put aside after a failure.
bool isAvailable(const EndpointView &endpoint, Core::Instant now);

/// True if the endpoint serves exactly this version; the empty digest stands for a plain service, which has no versions.
bool attests(const EndpointView &endpoint, const std::string &digest);

/// Available and serving the wanted version, the only endpoints that a request may be sent to.
bool isEligible(const EndpointView &endpoint, const std::string &digest, Core::Instant now);

/// Requests believed to be at the endpoint now: the reported ones, corrected by the entry's own work since the report.
std::uint32_t estimatedRequests(const EndpointView &endpoint);

/// estimatedRequests() relative to the requests that the endpoint runs at once.
double estimatedLoad(const EndpointView &endpoint);

/// How long another request would take, relative to other endpoints: its own calls' time so far, and more the fuller it is. 0 until a call has ended.
double estimatedCost(const EndpointView &endpoint);

/// True if another request would start at once, as far as the entry can tell.
bool hasFreeSlot(const EndpointView &endpoint);

}
