/// @file An entry's view of one endpoint, and the availability and load rules that depend only on it.
#pragma once

#include "LibCore/Clock.h"
#include "LibProtocol/Report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// Time without a report after which an endpoint is unavailable. Agents report at least once a second.
inline constexpr Core::Duration ReportTimeout{3500};

/// An entry's view of one endpoint. The load dates from the newest report; the number of outstanding calls covers this entry only and is exact.
struct EndpointView
{
    Protocol::Member m_member; ///< The agent beside the endpoint.
    std::uint64_t m_sequence = 0; ///< Sequence number of the newest report of this incarnation.
    bool m_healthy = false;
    std::vector<Protocol::Attestation> m_attestations;
    Protocol::EndpointLoad m_load;
    Core::Instant m_lastReportTime;
    Core::Instant m_avoidUntil; ///< No new calls before this time; set after a failed call.
    std::uint32_t m_outstanding = 0; ///< Calls of this entry that have not ended.
    std::uint32_t m_outstandingAtReport = 0; ///< m_outstanding when the newest report arrived; the reported load already contains these calls.
    double m_meanCallSeconds = 0; ///< Moving average of the duration of this entry's calls; 0 before the first has ended.
    std::uint64_t m_hash = 0; ///< Stable hash of the instance's name, for rendezvous hashing.

    bool operator==(const EndpointView &) const = default;
};

/// True if the endpoint can take new calls: it reported recently, is healthy, is not leaving and is not avoided after a failure.
bool isAvailable(const EndpointView &endpoint, Core::Instant now);

/// True if the endpoint attests that it serves this version. Always true for an empty digest, which stands for a plain service without versions.
bool attests(const EndpointView &endpoint, const std::string &digest);

/// True if the endpoint is available and attests that it serves the version. Requests are sent to eligible endpoints only.
bool isEligible(const EndpointView &endpoint, const std::string &digest, Core::Instant now);

/// Estimates the requests at the endpoint now: the reported ones, corrected by the calls that this entry has started or ended since the report.
std::uint32_t estimatedRequests(const EndpointView &endpoint);

/// estimatedRequests() divided by the number of requests that the endpoint runs concurrently.
double estimatedLoad(const EndpointView &endpoint);

/// Relative cost of one more request, to compare endpoints by: the mean call time, scaled by the load. 0 until a call has ended.
double estimatedCost(const EndpointView &endpoint);

/// True if one more request would start at once according to estimatedRequests().
bool hasFreeSlot(const EndpointView &endpoint);

}
