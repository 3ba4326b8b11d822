/// @file Estimates the age of a declaration whose acceptance time is unknown. A pure function.
#pragma once

#include "LibCore/Clock.h"

#include <optional>

namespace Gossip {

/// How up to date with the log a process has been.
struct LogSyncState
{
    std::optional<Core::Instant> m_firstSyncedAt; ///< When it was first up to date with the log; empty if it never was.
    std::optional<Core::Instant> m_lastConfirmedAt; ///< When it was last confirmed to be up to date with the log.

    bool operator==(const LogSyncState &) const = default;
};

/**
 * Returns the maximum age of a declaration that is new to this process; empty if it is unknown.
 *
 * A process that starts during an outage of the log finds the declaration when the log returns and cannot tell its age, so it must treat the deadline of the
 * declaration as passed. If other processes adopted that, they would refuse every request until engines have loaded the new version: a restart of
 * entries during an outage of the log would make a whole cluster refuse requests for 4 s. A process that was up to date until the outage knows that the
 * declaration was accepted after its last confirmation by the log. The duration of the outage is not counted, because no process could have learned of the
 * declaration during it.
 */
std::optional<Core::Duration> maximumDeclarationAge(const LogSyncState &syncState, Core::Instant now);

}
