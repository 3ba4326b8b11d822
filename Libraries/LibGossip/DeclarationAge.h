/// @file How old a declaration can be of which nobody states when it was accepted: a pure decision.
#pragma once

#include "LibCore/Clock.h"

#include <optional>

namespace Gossip {

/// How well a process has known the log so far.
struct LogSyncState
{
    std::optional<Core::Instant> m_firstSyncedAt; ///< When it first knew the newest state of the log; empty if it never did.
    std::optional<Core::Instant> m_lastConfirmedAt; ///< When it was last known to know the newest state.

    bool operator==(const LogSyncState &) const = default;
};

/**
 * The most that a declaration can be old that is news to this process; empty if it cannot tell.
 *
 * A process that starts during an outage of the log finds the declaration there afterwards and cannot tell its age, so that its bound must count as passed.
 * If the others took that over, they would refuse every request until engines have the new version: 4 s for a whole site, seen when entries were restarted
 * while the log was away. A process that knew the log until the outage tells that the declaration is younger than that; and as nobody could have heard of it
 * while the log was away, that time does not count.
 */
std::optional<Core::Duration> maximumDeclarationAge(const LogSyncState &knowledge, Core::Instant now);

}
