/// @file Choice of the model version that answers a client account during a rollout.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Routing {

/// State of a rollout for one account, as this entry sees it.
struct RolloutState
{
    std::string m_wantedDigest; ///< Digest in force for the account.
    std::uint32_t m_wantedReplicas = 1; ///< Replicas of m_wantedDigest, as published.
    std::string m_previousDigest; ///< Digest that answered the account before; empty if none is known.
    std::size_t m_wantedServing = 0; ///< Available watched replicas that attest m_wantedDigest.
    std::size_t m_previousServing = 0; ///< Available watched replicas that attest m_previousDigest.
    std::size_t m_watched = 0; ///< Available watched endpoints of the service; this entry cannot see more replicas than these.
    bool m_switched = false; ///< The account has been answered by m_wantedDigest before.

    bool operator==(const RolloutState &) const = default;
};

/// Share of the wanted replicas that must serve before the account is switched from its previous version.
inline constexpr double SwitchShare = 0.5;

/**
 * Returns the digest of the one version that answers the account now; empty if none can.
 *
 * The account stays on its previous version until enough replicas of the wanted one serve, since the first few would be overloaded by the whole
 * account's requests. Once switched, it stays on the wanted version while any replica of it serves.
 */
std::string chooseVersion(const RolloutState &rollout);

}
