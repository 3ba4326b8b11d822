/// @file Implementation of the choice of a version.

#include "LibRouting/VersionChoice.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

std::size_t replicasToSwitch(const RolloutState &situation)
{
    const std::size_t reachable = std::min<std::size_t>(situation.m_wantedReplicas, std::max<std::size_t>(1, situation.m_watched));
    const std::size_t share = static_cast<std::size_t>(std::ceil(SwitchShare * static_cast<double>(reachable)));
    return std::max<std::size_t>(1, share);
}

}

std::string chooseVersion(const RolloutState &situation)
{
    const bool previousServes = !situation.m_previousDigest.empty() && situation.m_previousServing > 0;
    if (situation.m_wantedServing >= replicasToSwitch(situation)) {
        return situation.m_wantedDigest;
    }
    if (situation.m_switched && situation.m_wantedServing > 0) {
        return situation.m_wantedDigest;
    }
    if (previousServes) {
        return situation.m_previousDigest;
    }
    return situation.m_wantedServing > 0 ? situation.m_wantedDigest : std::string();
}

}
