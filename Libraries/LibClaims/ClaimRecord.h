/// @file The records of the claims stream.
#pragma once

#include "LibClaims/ClaimKey.h"
#include "LibCore/Address.h"

#include <string>
#include <vector>

namespace Claims {

/// Name of the claims stream at the log service.
inline constexpr const char *ClaimsStream = "claims";
inline constexpr std::size_t MaximumBatch = 4096;

/// One attempt asks to be the one that runs under a key, and names the agent it will be sent to, where its outcome can be asked for.
struct Claim
{
    ClaimKey m_key; ///< Scoped.
    std::string m_attempt;
    std::string m_entry;
    std::string m_agent; ///< Instance.
    std::string m_agentIncarnation;
    std::uint64_t m_agentReport = 0; ///< Newest report of the agent that the entry had seen.
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
 * An attempt that did not run and never will, so that its key is free again.
 *
 * Only two may say so: the entry that made the attempt and has not sent it, and an entry to which the agent has confirmed that it bars it.
 */
struct AttemptTombstone
{
    std::string m_key; ///< Scoped text.
    std::string m_attempt;

    bool operator==(const AttemptTombstone &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("key", m_key), MSGPACK_NVP("attempt", m_attempt));
};

/// One record.
struct ClaimBatch
{
    std::string m_id; ///< Random; by it a lost append answer is settled.
    std::string m_writer;
    std::uint64_t m_generation = 0; ///< A larger one than before starts a generation; a batch of an older one counts for nothing.
    std::vector<AttemptTombstone> m_tombstones; ///< Folded before the claims.
    std::vector<Claim> m_claims;

    bool operator==(const ClaimBatch &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("id", m_id),
                       MSGPACK_NVP("writer", m_writer),
                       MSGPACK_NVP("generation", m_generation),
                       MSGPACK_NVP("bars", m_tombstones),
                       MSGPACK_NVP("claims", m_claims));
};

}
