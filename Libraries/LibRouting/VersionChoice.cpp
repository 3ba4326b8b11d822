/// @file Choice of the version that answers an account.

#include "LibRouting/VersionChoice.h"

#include <algorithm>
#include <cmath>

namespace Routing {

namespace {

std::size_t replicasToSwitch(const RolloutState &rollout)
{
    const std::size_t reachable = std::min<std::size_t>(rollout.m_wantedReplicas, std::max<std::size_t>(1, rollout.m_watched));
    const std::size_t share = static_cast<std::size_t>(std::ceil(SwitchShare * static_cast<double>(reachable)));
    return std::max<std::size_t>(1, share);
}

}

std::string chooseVersion(const RolloutState &rollout)
{
    const bool previousServes = !rollout.m_previousDigest.empty() && rollout.m_previousServing > 0;
    if (rollout.m_wantedServing >= replicasToSwitch(rollout)) {
        return rollout.m_wantedDigest;
    }
    if (rollout.m_switched && rollout.m_wantedServing > 0) {
        return rollout.m_wantedDigest;
    }
    if (previousServes) {
        return rollout.m_previousDigest;
    }
    return rollout.m_wantedServing > 0 ? rollout.m_wantedDigest : std::string();
}

}
