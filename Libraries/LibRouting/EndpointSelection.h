/// @file Selection of one endpoint for one request.
#pragma once

#include "LibCore/Random.h"
#include "LibRouting/EndpointTable.h"

#include <optional>

namespace Routing {

enum class Strategy {
    Random, ///< Baseline: a random endpoint.
    LeastReportedLoad, ///< Baseline: the endpoint with the least reported load.
    JoinFastestFreeServer, ///< Baseline: the fastest endpoint with a free slot, as in the paper on chain-structured jobs.
    PowerOfTwoChoices, ///< The cheaper of two sampled endpoints, by mean call time, reported load and this entry's outstanding calls.
    PrefixAffinity, ///< The endpoint that the prompt prefix is hashed to while its load is near the mean, otherwise as PowerOfTwoChoices.
};

/// True if requests wait at the entry until an endpoint has a free slot. Random and LeastReportedLoad don't estimate free slots and send at once.
bool waitsForFreeSlot(Strategy strategy);

/// Properties of the request that the selection depends on.
struct SelectionRequest
{
    std::uint64_t m_affinity = 0; ///< Hash of client account and prompt prefix; 0 if there is none.
    std::span<const std::string> m_excluded; ///< Instances at which this request has failed.
    bool m_needsFreeSlot = true; ///< Skip endpoints at which the request would have to wait.
};

/// Returns an endpoint of the group that can take the request now; empty if there is none.
std::optional<EndpointIndex>
selectEndpoint(Strategy strategy, const EndpointTable &table, const GroupKey &group, const SelectionRequest &request, Core::Instant now, Core::Random &random);

/// Returns the hash of the account and the start of the prompt, for prefix affinity; never 0.
std::uint64_t affinityHash(std::string_view account, std::string_view prompt);

}
