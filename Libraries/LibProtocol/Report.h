/// @file What an agent tells the entries that watch it (method control.watch, a stream of AgentReport and LoadReport frames).
#pragma once

#include "LibCore/Error.h"
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

/// A whole report.
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

/**
 * Stands for a whole report in which only the load differs from an earlier one.
 *
 * Whole reports each second were most of an entry's control traffic. A watcher that missed a whole report must not take the load for
 * a sign that what it holds is still true, so it names the whole report that it builds on.
 */
struct LoadReport
{
    bool m_isLoadOnly = false; ///< Tells this frame from a whole report, which has no such field.
    std::uint64_t m_sequence = 0; ///< Counted on with the whole reports.
    std::uint64_t m_fullReportSequence = 0; ///< Sequence of the last whole report; everything but the load is as it said.
    EndpointLoad m_load;

    bool operator==(const LoadReport &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("load_only", m_isLoadOnly),
                       MSGPACK_NVP("sequence", m_sequence),
                       MSGPACK_NVP("whole", m_fullReportSequence),
                       MSGPACK_NVP("load", m_load));
};

/**
 * Brings @p held up to date with a frame of the stream.
 *
 * Fails with Corrupt on a malformed frame, and with Conflict, leaving @p held unchanged, on a load that builds on a whole report that was
 * missed; the next whole report makes that good.
 */
Core::Result<void> applyWatchFrame(const std::string &frame, const std::string &peer, AgentReport &held);

/// Opens the stream of reports.
struct WatchRequest
{
    std::string m_watcher; ///< Name of the watching entry.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("watcher", m_watcher));
};

}
