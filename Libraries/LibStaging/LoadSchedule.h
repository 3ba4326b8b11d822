/// @file When each engine of a service changes to a new version: computed by every agent alike, with nothing to agree on.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Staging {

/**
 * An engine that changes versions takes nothing new until its running requests have ended and the new weights are loaded. If all changed at once
 * the service would stop for that time, and callers would be refused; one after the other, only a share is away at any time.
 */
struct LoadScheduleSettings
{
    /// After the declaration: shortly before most agents hold a whole version. Those whose turn is earlier would all change as soon as theirs is whole.
    Core::Duration m_firstDelay{2900};
    Core::Duration m_lastDelay{6300}; ///< The same for the last: from its order on an engine begins nothing on the old version, for which the bound is 8 s.

    bool operator==(const LoadScheduleSettings &) const = default;
};

/// Place of @p self among the agents of its service, in an order that depends on the version.
std::size_t loadRank(const std::string &self, const std::vector<std::string> &others, std::uint64_t version);

/**
 * Time from a version's acceptance until the turn of the agent at @p rank of @p count. @p head: how much earlier the oldest version was accepted that
 * the engine has not reached either; that one's bound comes first, so the turns move closer together.
 */
Core::Duration loadDelay(std::size_t rank, std::size_t count, Core::Duration head, const LoadScheduleSettings &settings);

}
