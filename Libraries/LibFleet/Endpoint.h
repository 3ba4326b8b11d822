/// @file Endpoints as they register themselves: who, where, which weights, and whether they leave.
#pragma once

#include "LibCore/Address.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Fleet {

/// Consecutive layers of a model.
struct LayerRange
{
    std::uint32_t m_first = 0;
    std::uint32_t m_end = 0; ///< One past the last.

    bool operator==(const LayerRange &) const = default;

    MSGPACK_DEFINE_ARRAY(m_first, m_end);
};

/// A version of a model's weights as an engine has it loaded.
struct LoadedWeights
{
    std::string m_model;
    std::uint64_t m_version = 0;
    std::vector<LayerRange> m_layers; ///< Empty if the engine lists none; it has them all then.

    bool operator==(const LoadedWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version, m_layers);
};

/// Whether every one of the model's @p layers is loaded. An engine with fewer cannot answer alone.
bool holdsEveryLayer(const LoadedWeights &weights, std::uint32_t layers);

/// One start of an endpoint. An id may come back with a later start, which knows nothing of the one before.
struct Endpoint
{
    std::string m_id;
    std::uint64_t m_startedMilliseconds = 0; ///< Unix time of its start; tells incarnations of one id apart.
    Core::Address m_address;
    std::string m_failureDomain;
    std::string m_service;
    std::uint32_t m_slots = 0; ///< Requests that run at once.
    bool m_isLeaving = false; ///< It takes no new work. Stays true for an incarnation.
    std::vector<LoadedWeights> m_weights; ///< Empty for plain services, and for engines that hold no model.

    bool operator==(const Endpoint &) const = default;

    MSGPACK_DEFINE_ARRAY(m_id, m_startedMilliseconds, m_address, m_failureDomain, m_service, m_slots, m_isLeaving, m_weights);
};

}
