/// @file Endpoints as they register themselves: who, where, which weights, and whether they leave.
#pragma once

#include "LibCore/Address.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Fleet {

/// A version of a model's weights as an engine has it loaded.
struct LoadedWeights
{
    std::string m_model;
    std::uint64_t m_version = 0;
    bool m_isWhole = false; ///< Every layer is loaded.

    bool operator==(const LoadedWeights &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version, m_isWhole);
};

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
