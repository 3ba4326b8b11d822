/// @file Which version of a model answers a client account while a rollout is under way.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Routing {

/// What one account wants, and what this entry sees serving.
struct RolloutState
{
    std::string m_wantedDigest; ///< Digest in force for the account.
    std::uint32_t m_wantedReplicas = 1; ///< As published.
    std::string m_previousDigest; ///< Digest that answered the account before; empty if none is known.
    std::size_t m_wantedServing = 0; ///< Available replicas that attest m_wanted, among those watched.
    std::size_t m_previousServing = 0; ///< The same for m_previous.
    std::size_t m_watched = 0; ///< Available endpoints of the service that are watched; no more than these can be seen to serve.
    bool m_switched = false; ///< The account has been answered by m_wanted before.

    bool operator==(const RolloutState &) const = default;
};

/// Share of the wanted replicas that must serve before the account moves over from the version before.
inline constexpr double SwitchShare = 0.5;

/**
 * The digest of the one version that answers the account now; empty if none can.
 *
 * The account stays with its old version until enough replicas of the new one serve, since the first few would drown in the whole account's
 * load. Once it has moved, it stays with the new version while any replica of it serves.
 */
std::string chooseVersion(const RolloutState &situation);

}
