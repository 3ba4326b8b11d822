/// @file Implementation of the age of declarations without a statement.

#include "LibGossip/DeclarationAge.h"

#include <algorithm>

namespace Gossip {

namespace {

constexpr Core::Duration SettledAfter{3000}; ///< A process that has known the log for less may have missed declarations from before.
constexpr Core::Duration LongestCounted{1500}; ///< The list is confirmed at least so often while the log answers; what is longer is an outage.

}

std::optional<Core::Duration> maximumDeclarationAge(const LogSyncState &knowledge, Core::Instant now)
{
    if (!knowledge.m_firstSyncedAt || !knowledge.m_lastConfirmedAt || now - *knowledge.m_firstSyncedAt < SettledAfter) {
        return std::nullopt;
    }
    const Core::Duration unwatched = std::chrono::duration_cast<Core::Duration>(now - *knowledge.m_lastConfirmedAt);
    return std::clamp(unwatched, Core::Duration(0), LongestCounted);
}

}
