/// @file Records of the claims stream.
#pragma once

#include "LibClaims/ClaimKey.h"
#include "LibCore/Address.h"

#include <string>
#include <vector>

namespace Claims {

/// Name of the claims stream at the log service.
inline constexpr const char *ClaimsStream = "claims";
/// Claims in one record; a record with more is ignored as malformed.
inline constexpr std::size_t MaximumBatch = 4096;

/// Request of an attempt to be the only one that runs under a key. Names the agent that it will be sent to and that can be asked for its outcome.
struct Claim
{
    ClaimKey m_key; ///< Scoped, see scopedKey().
    std::string m_attempt;
    std::string m_entry;
    std::string m_agent; ///< Instance.
    std::string m_agentIncarnation;
    std::uint64_t m_agentReport = 0; ///< Sequence number of the newest report that the entry had received from the agent.
    Core::Address m_agentWire;

    bool operator==(const Claim &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("key", m_key),
                       MSGPACK_NVP("attempt", m_attempt),
                       MSGPACK_NVP("entry", m_entry),
                       MSGPACK_NVP("agent", m_agent),
                       MSGPACK_NVP("agent_incarnation", m_agentIncarnation),
                       MSGPACK_NVP("agent_report", m_agentReport),
                       MSGPACK_NVP("agent_wire", m_agentWire));
};

/**
 * States that an attempt did not run and never will, so that its key can be claimed again.
 *
 * It may be written only by the entry that made the attempt and has not sent it, or by an entry to which the agent has confirmed that it will never
 * run the attempt.
 */
struct AttemptTombstone
{
    std::string m_key; ///< Text of the scoped key.
    std::string m_attempt;

    bool operator==(const AttemptTombstone &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("key", m_key), MSGPACK_NVP("attempt", m_attempt));
};

/// Content of one record.
struct ClaimBatch
{
    std::string m_id; ///< Random id, by which the writer finds the record in the log if the append's answer was lost.
    std::string m_writer;
    std::uint64_t m_generation = 0; ///< A value above all earlier ones starts a new generation; a batch with a lower value has no effect.
    std::vector<AttemptTombstone> m_tombstones; ///< Applied before the claims.
    std::vector<Claim> m_claims;

    bool operator==(const ClaimBatch &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("id", m_id),
                       MSGPACK_NVP("writer", m_writer),
                       MSGPACK_NVP("generation", m_generation),
                       MSGPACK_NVP("bars", m_tombstones),
                       MSGPACK_NVP("claims", m_claims));
};

}
