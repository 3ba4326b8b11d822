/// @file What an endpoint reports about itself, as value types.
#pragma once

#include "LibProtocol/Report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Endpoint {

enum class ModelState {
    Loading,
    Serving,
    Draining, ///< Takes no new requests; its slot is free once those running have ended.
};

/// One set of weights in an engine, named by the digest of the whole weights.
struct EngineModel
{
    std::string m_contentDigest;
    ModelState m_state = ModelState::Loading;
    std::uint64_t m_fence = 0; ///< Fencing number of the order that loaded it; 0 if the engine does not keep it.

    bool operator==(const EngineModel &) const = default;
};

/// Answer of an endpoint to a status inquiry.
struct EngineStatus
{
    bool m_reachable = false; ///< The other members mean nothing unless it is set.
    std::vector<EngineModel> m_models; ///< Empty for plain services.
    Protocol::EndpointLoad m_load;

    bool operator==(const EngineStatus &) const = default;
};

/// Weights whose manifest is verified on this instance.
struct KnownWeights
{
    std::string m_manifestDigest;
    std::string m_contentDigest; ///< As the manifest says.
    bool m_isComplete = false; ///< Every byte is here and verified.

    bool operator==(const KnownWeights &) const = default;
};

}
