/// @file The schedule by which the engines of a service load a new version. Every agent computes it independently; no coordination is needed.
#pragma once

#include "LibPlacement/VersionDeadlines.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Staging {

/**
 * Bounds of the load times, as delays after the declaration of a version.
 *
 * An engine that changes versions accepts no new requests until its running requests have ended and the new weights are loaded. If all engines did so at the
 * same time, the service would be unavailable and callers would be refused. With staggered load times only a share of the engines is unavailable at any time.
 */
struct LoadScheduleSettings
{
    Core::Duration m_versionBound{8000}; ///< Delay from which on no request may begin on an older version.
    /// Entries send no requests to engines with an older version within this time before the bound.
    Core::Duration m_boundMargin{Placement::VersionBoundMargin};

    bool operator==(const LoadScheduleSettings &) const = default;
};

/// Returns the rank of @p self among the agents of its service. The order depends on the version.
std::size_t loadRank(const std::string &self, const std::vector<std::string> &others, std::uint64_t version);

/**
 * Returns the time from a version's acceptance until the load time of the agent at rank @p rank of @p count.
 *
 * The load times are spread over the time that is left from the moment at which the version is staged. Most agents stage it at nearly the same time, however
 * long their links need, so together they use all of that time.
 *
 * @p staged: time from the version's acceptance until this agent had staged it.
 * @p lead: how much earlier than this version the oldest version that the engine has not loaded was accepted. The deadline of that older version comes first,
 * so the load times move closer together.
 */
Core::Duration loadDelay(std::size_t rank, std::size_t count, Core::Duration staged, Core::Duration lead, const LoadScheduleSettings &settings);

}
