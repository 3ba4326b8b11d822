/// @file Implementation of the load schedule.

#include "LibStaging/LoadSchedule.h"

#include "LibCore/Random.h"

#include <algorithm>

namespace Staging {

std::size_t loadRank(const std::string &self, const std::vector<std::string> &others, std::uint64_t version)
{
    const std::string key = std::to_string(version);
    const std::uint64_t ownWeight = Core::rendezvousWeight(key, self);
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(), [&key, ownWeight](const std::string &other) { return Core::rendezvousWeight(key, other) > ownWeight; }));
}

Core::Duration loadDelay(std::size_t rank, std::size_t count, Core::Duration staged, Core::Duration lead, const LoadScheduleSettings &settings)
{
    const Core::Duration last = std::max(Core::Duration(0), settings.m_versionBound - settings.m_boundMargin - lead);
    const Core::Duration first = std::min(staged, last);
    if (count < 2) {
        return first;
    }
    const std::int64_t span = (last - first).count();
    return first + Core::Duration(span * static_cast<std::int64_t>(std::min(rank, count - 1)) / static_cast<std::int64_t>(count - 1));
}

}
