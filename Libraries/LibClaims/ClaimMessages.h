/// @file Messages by which an entry sends claims to a claim writer (method control.claim).
#pragma once

#include "LibClaims/ClaimTable.h"

namespace Claims {

inline constexpr const char *ClaimMethod = "control.claim";

/// Tombstones and claims to write; a request with neither only asks for the epoch.
struct ClaimRequest
{
    std::vector<AttemptTombstone> m_tombstones;
    std::vector<Claim> m_claims;

    bool operator==(const ClaimRequest &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("bars", m_tombstones), MSGPACK_NVP("claims", m_claims));
};

/// Results of a request, after its records have been read back from the log.
struct ClaimAnswer
{
    std::vector<ClaimResult> m_results; ///< In the order of the request's claims.
    Epoch m_epoch; ///< Epoch for new keys.

    bool operator==(const ClaimAnswer &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("results", m_results), MSGPACK_NVP("epoch", m_epoch));
};

}
