/// @file Endpoints as they register themselves: identity, address, loaded weights and whether they are leaving.
#pragma once

#include "LibCore/Address.h"
#include "LibFleet/OptionalList.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Fleet {

/// A range of consecutive layers of a model.
struct LayerRange
{
    std::uint32_t m_first = 0;
    std::uint32_t m_end = 0; ///< One past the last.

    bool operator==(const LayerRange &) const = default;

    MSGPACK_DEFINE_ARRAY(m_first, m_end);
};

using LayerRanges = std::vector<LayerRange>;

/// A version of a model's weights as an engine has it loaded.
struct LoadedWeights
{
    std::string m_model;
    std::uint64_t m_version = 0;
    OptionalList<LayerRange> m_layers; ///< Absent if the engine lists no layers, which means that it has all of them.

    bool operator==(const LoadedWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version, m_layers);
};

/// Returns whether all @p layers layers of the model are loaded. An engine with fewer cannot answer alone.
bool holdsEveryLayer(const LoadedWeights &weights, std::uint32_t layers);

/// One incarnation of an endpoint. A later incarnation may have the same id and keeps no state of the earlier one.
struct Endpoint
{
    std::string m_id;
    std::uint64_t m_startedMilliseconds = 0; ///< Unix time of its start; distinguishes the incarnations of one id.
    Core::Address m_address;
    std::string m_failureDomain;
    std::string m_service;
    std::uint32_t m_slots = 0; ///< Maximum number of requests that run at the same time.
    bool m_isLeaving = false; ///< The endpoint accepts no new work. Stays true for the rest of the incarnation.
    std::vector<LoadedWeights> m_weights; ///< Empty for plain services, and for engines that hold no model.
    bool m_isCold = false; ///< It has just started, or has lost what it had cached, and takes only a limited rate of requests.

    bool operator==(const Endpoint &) const = default;

    MSGPACK_DEFINE_ARRAY(m_id, m_startedMilliseconds, m_address, m_failureDomain, m_service, m_slots, m_isLeaving, m_weights, m_isCold);
};

}
