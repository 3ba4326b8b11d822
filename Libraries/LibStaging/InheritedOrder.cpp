/// @file Implementation of the decisions about a predecessor's order.

#include "LibStaging/InheritedOrder.h"

#include <algorithm>

namespace Staging {

bool isStaged(const StageDigests &staged, const Weights::Manifest &manifest)
{
    if (staged.size() != manifest.chunkCount()) {
        return false;
    }
    return std::all_of(staged.begin(), staged.end(), [&manifest](const std::pair<const Weights::ChunkIndex, std::string> &chunk) {
        return chunk.first < manifest.chunkCount() && manifest.m_chunkDigests[chunk.first] == chunk.second;
    });
}

bool mayBeOtherVersion(const StageDigests &staged, const Weights::Manifest &target)
{
    if (staged.size() < target.chunkCount()) {
        return false;
    }
    return std::none_of(staged.begin(), staged.end(), [&target](const std::pair<const Weights::ChunkIndex, std::string> &chunk) {
        return chunk.first < target.chunkCount() && target.m_chunkDigests[chunk.first] == chunk.second;
    });
}

bool hasStartedWithin(Core::Duration time, const EngineStatus &status, std::uint64_t wallClock)
{
    const bool isKnown = status.m_startedMilliseconds > 0;
    return isKnown && status.m_startedMilliseconds + static_cast<std::uint64_t>(time.count()) > wallClock;
}

bool isOpen(const InheritedOrder &inherited, const EngineStatus &status, Core::Instant now, Core::Duration settleTime)
{
    return (inherited.m_mayBeStray || mayAccept(status, inherited.m_order)) && now - inherited.m_seenAt < settleTime;
}

}
