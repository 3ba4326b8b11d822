/// @file Value types for the status of an endpoint.
#pragma once

#include "LibProtocol/Report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Endpoint {

enum class ModelState {
    Loading,
    Serving,
    Draining, ///< Accepts no new requests; its slot becomes free when the running requests have ended.
};

/// A set of weights in an engine, identified by the digest of the complete weights.
struct EngineModel
{
    std::string m_contentDigest;
    ModelState m_state = ModelState::Loading;
    std::uint64_t m_fence = 0; ///< Fencing number of the order that loaded it; 0 if the engine does not report it.

    bool operator==(const EngineModel &) const = default;
};

/// Answer of an endpoint to a status request.
struct EngineStatus
{
    bool m_reachable = false; ///< The other members are valid only if this is set.
    std::vector<EngineModel> m_models; ///< Empty for plain services.
    Protocol::EndpointLoad m_load;

    bool operator==(const EngineStatus &) const = default;
};

/// Weights whose manifest has been verified on this instance.
struct KnownWeights
{
    std::string m_manifestDigest;
    std::string m_contentDigest; ///< As stated in the manifest.
    bool m_isComplete = false; ///< Every byte is present and verified.

    bool operator==(const KnownWeights &) const = default;
};

}
