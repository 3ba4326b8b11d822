/// @file What an agent tells the entries that watch it (method control.watch, a stream of AgentReport frames).
#pragma once

#include "LibProtocol/Member.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Protocol {

/// The engine serves exactly this whole, verified version now.
struct Attestation
{
    std::string m_digest; ///< Manifest digest of the weights, in hexadecimal.
    std::uint64_t m_fence = 0; ///< Offset of the plan under which they were loaded.

    bool operator==(const Attestation &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("fence", m_fence));
};

/// Load as the endpoint reported it; it lags.
struct EndpointLoad
{
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_capacity = 1; ///< Requests that it runs at once.

    bool operator==(const EndpointLoad &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("running", m_running), MSGPACK_NVP("queued", m_queued), MSGPACK_NVP("capacity", m_capacity));
};

/// How far a transfer of weights has come.
struct TransferProgress
{
    std::string m_digest;
    std::uint32_t m_chunksHeld = 0;
    std::uint32_t m_chunksTotal = 0;

    bool operator==(const TransferProgress &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("held", m_chunksHeld), MSGPACK_NVP("total", m_chunksTotal));
};

/// A whole report, never a difference: a lost one is made good by the next.
struct AgentReport
{
    Member m_member;
    std::uint64_t m_sequence = 0; ///< Grows by one with each report of an incarnation.
    std::uint64_t m_appliedOffset = 0; ///< Control state in force at the agent.
    bool m_endpointHealthy = false;
    std::vector<Attestation> m_attestations; ///< For plain services empty; m_endpointHealthy alone counts.
    EndpointLoad m_load;
    std::vector<TransferProgress> m_transfers;

    bool operator==(const AgentReport &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("member", m_member),
                       MSGPACK_NVP("sequence", m_sequence),
                       MSGPACK_NVP("applied", m_appliedOffset),
                       MSGPACK_NVP("healthy", m_endpointHealthy),
                       MSGPACK_NVP("attestations", m_attestations),
                       MSGPACK_NVP("load", m_load),
                       MSGPACK_NVP("transfers", m_transfers));
};

/// Opens the stream of reports.
struct WatchRequest
{
    std::string m_watcher; ///< Name of the watching entry.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("watcher", m_watcher));
};

}
