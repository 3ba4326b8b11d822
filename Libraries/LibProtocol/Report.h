/// @file Reports of an agent to the entries that watch it (method control.watch, a stream of AgentReport and LoadReport frames).
#pragma once

#include "LibCore/Error.h"
#include "LibProtocol/Member.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Protocol {

/// States that the engine serves exactly this version, complete and verified.
struct Attestation
{
    std::string m_digest; ///< Manifest digest of the weights, in hexadecimal.
    std::uint64_t m_fence = 0; ///< Offset of the plan under which the weights were loaded.

    bool operator==(const Attestation &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("fence", m_fence));
};

/// Load as last reported by the endpoint; may be stale.
struct EndpointLoad
{
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint32_t m_capacity = 1; ///< Requests that the endpoint can run at once.

    bool operator==(const EndpointLoad &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("running", m_running), MSGPACK_NVP("queued", m_queued), MSGPACK_NVP("capacity", m_capacity));
};

/// Progress of a transfer of weights.
struct TransferProgress
{
    std::string m_digest;
    std::uint32_t m_chunksHeld = 0;
    std::uint32_t m_chunksTotal = 0;

    bool operator==(const TransferProgress &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("digest", m_digest), MSGPACK_NVP("held", m_chunksHeld), MSGPACK_NVP("total", m_chunksTotal));
};

/// A full report.
struct AgentReport
{
    Member m_member;
    std::uint64_t m_sequence = 0; ///< Incremented by one with each report of an incarnation.
    std::uint64_t m_appliedOffset = 0; ///< Offset of the control state in force at the agent.
    bool m_endpointHealthy = false;
    std::vector<Attestation> m_attestations; ///< Empty for plain services, for which only m_endpointHealthy matters.
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
 * Replaces a full report in which only the load differs from an earlier one.
 *
 * A full report each second would make up most of an entry's control traffic. A watcher that missed a full report must not treat a load report
 * as confirmation of its stale data, so each load report names the last full report that was sent before it.
 */
struct LoadReport
{
    bool m_isLoadOnly = false; ///< Distinguishes this frame from a full report, which has no such field.
    std::uint64_t m_sequence = 0; ///< Continues the sequence of the full reports.
    std::uint64_t m_fullReportSequence = 0; ///< Sequence of the last full report; all its fields but the load and the sequence still hold.
    EndpointLoad m_load;

    bool operator==(const LoadReport &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("load_only", m_isLoadOnly),
                       MSGPACK_NVP("sequence", m_sequence),
                       MSGPACK_NVP("whole", m_fullReportSequence),
                       MSGPACK_NVP("load", m_load));
};

/**
 * Updates @p held with a frame of the stream.
 *
 * Fails with Corrupt on a malformed frame. Fails with Conflict, leaving @p held unchanged, if a load report names a full report that
 * was not received; the next full report resolves the conflict.
 */
Core::Result<void> applyWatchFrame(const std::string &frame, const std::string &peer, AgentReport &held);

/// Opens the stream of reports.
struct WatchRequest
{
    std::string m_watcher; ///< Name of the watching entry.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("watcher", m_watcher));
};

}
