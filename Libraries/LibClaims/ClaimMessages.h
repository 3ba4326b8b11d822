/// @file Claims on their way from an entry to a claim writer (method control.claim).
#pragma once

#include "LibClaims/ClaimTable.h"

namespace Claims {

inline constexpr const char *ClaimMethod = "control.claim";

/// Bars and claims to write; with neither, only the epoch is asked for.
struct ClaimRequest
{
    std::vector<AttemptTombstone> m_tombstones;
    std::vector<Claim> m_claims;

    bool operator==(const ClaimRequest &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("bars", m_tombstones), MSGPACK_NVP("claims", m_claims));
};

/// What became of them, once they stand in the log.
struct ClaimAnswer
{
    std::vector<ClaimResult> m_results; ///< In the order of the request's claims.
    Epoch m_epoch; ///< For new keys.

    bool operator==(const ClaimAnswer &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("results", m_results), MSGPACK_NVP("epoch", m_epoch));
};

}
