/// @file Implementation of the estimate of a declaration's age.

#include "LibGossip/DeclarationAge.h"

#include <algorithm>

namespace Gossip {

namespace {

constexpr Core::Duration MinimumSyncTime{3000}; ///< A process that has been up to date for less may have missed earlier declarations.
constexpr Core::Duration AgeLimit{1500}; ///< While the log answers, the list is confirmed at least this often; a longer time is an outage.

}

std::optional<Core::Duration> maximumDeclarationAge(const LogSyncState &syncState, Core::Instant now)
{
    if (!syncState.m_firstSyncedAt || !syncState.m_lastConfirmedAt || now - *syncState.m_firstSyncedAt < MinimumSyncTime) {
        return std::nullopt;
    }
    const Core::Duration sinceConfirmed = std::chrono::duration_cast<Core::Duration>(now - *syncState.m_lastConfirmedAt);
    return std::clamp(sinceConfirmed, Core::Duration(0), AgeLimit);
}

}
