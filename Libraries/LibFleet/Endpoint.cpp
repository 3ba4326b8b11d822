/// @file Implementation of the functions for endpoints.

#include "LibFleet/Endpoint.h"

#include <algorithm>

namespace Fleet {

bool holdsEveryLayer(const LoadedWeights &weights, std::uint32_t layers)
{
    if (!weights.m_layers) {
        return true;
    }
    LayerRanges ranges = *weights.m_layers;
    std::sort(ranges.begin(), ranges.end(), [](const LayerRange &left, const LayerRange &right) { return left.m_first < right.m_first; });
    std::uint32_t covered = 0;
    for (const LayerRange &range : ranges) {
        if (range.m_first > covered) {
            return false;
        }
        covered = std::max(covered, range.m_end);
    }
    return covered > 0 && covered >= layers;
}

}
