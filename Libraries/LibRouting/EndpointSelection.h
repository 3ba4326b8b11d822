/// @file The choice of one endpoint for one request.
#pragma once

#include "LibCore/Random.h"
#include "LibRouting/EndpointTable.h"

#include <optional>

namespace Routing {

enum class Strategy {
    Random, ///< Baseline: any endpoint.
    LeastReportedLoad, ///< Baseline: the endpoint with the least reported load.
    JoinFastestFreeServer, ///< Baseline: the fastest endpoint with room, as in the paper on chain-structured jobs.
    PowerOfTwoChoices, ///< The less loaded of two, by reported load and own outstanding work.
    PrefixAffinity, ///< The prompt prefix's own endpoint while its load is near the mean, else as PowerOfTwoChoices.
};

/// Whether requests wait at the entry until an endpoint has room. The baselines that look at reports only cannot tell, and send at once.
bool waitsForFreeSlot(Strategy strategy);

/// What the choice depends on besides the endpoints.
struct SelectionRequest
{
    std::uint64_t m_affinity = 0; ///< Hash of client account and prompt prefix; 0 if there is none.
    std::span<const std::string> m_excluded; ///< Instances that this request has failed at.
    bool m_needsFreeSlot = true; ///< Pass over endpoints at which the request would have to wait.
};

/// An endpoint of the group that may take the request now; empty if there is none.
std::optional<EndpointIndex>
selectEndpoint(Strategy strategy, const EndpointTable &table, const GroupKey &group, const SelectionRequest &request, Core::Instant now, Core::Random &random);

/// Hash for prefix affinity: the start of the prompt, within one account.
std::uint64_t affinityHash(std::string_view account, std::string_view prompt);

}
