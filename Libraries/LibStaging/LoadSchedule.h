/// @file The schedule by which the engines of a service load a new version. Every agent computes it independently; no coordination is needed.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Staging {

/**
 * Load times of the first and the last engine, as delays after the declaration of a version.
 *
 * An engine that changes versions accepts no new requests until its running requests have ended and the new weights are loaded. If all engines did so at the
 * same time, the service would be unavailable and callers would be refused. With staggered load times only a share of the engines is unavailable at any time.
 */
struct LoadScheduleSettings
{
    /// Delay of the first engine: shortly before most agents hold a complete version. With a shorter delay, the engines scheduled earlier would all load as
    /// soon as their version is complete.
    Core::Duration m_firstDelay{2900};
    /// Delay of the last engine. Once its load order is sent, an engine starts no request on the old version; the deadline for this is 8 s.
    Core::Duration m_lastDelay{6300};

    bool operator==(const LoadScheduleSettings &) const = default;
};

/// Returns the rank of @p self among the agents of its service. The order depends on the version.
std::size_t loadRank(const std::string &self, const std::vector<std::string> &others, std::uint64_t version);

/**
 * Returns the time from a version's acceptance until the load time of the agent at rank @p rank of @p count.
 *
 * @p lead: how much earlier than this version the oldest version that the engine has not loaded was accepted. The deadline of that older version comes first,
 * so the load times move closer together.
 */
Core::Duration loadDelay(std::size_t rank, std::size_t count, Core::Duration lead, const LoadScheduleSettings &settings);

}
