/// @file The chunks that a peer has announced to be on their way to it, from the origin or from another region.
#pragma once

#include "LibCore/Clock.h"
#include "LibWeights/Manifest.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace Transfer {

/// Longest time for which a peer's announcement of a chunk keeps other replicas from fetching it. Longer than a download takes while the whole fleet shares the
/// origin's link, and a fraction of the time in which a version must be in force.
inline constexpr Core::Duration AnnouncementLimit{3000};

struct AnnouncedFetches
{
    std::set<Weights::ChunkIndex> m_current; ///< Announced by the latest update.
    /// When each chunk was first announced. Kept when a chunk leaves m_current, so that a peer whose fetches fail again and again holds a chunk back only once.
    std::map<Weights::ChunkIndex, Core::Instant> m_firstAnnouncedAt;

    bool operator==(const AnnouncedFetches &) const = default;
};

/// Replaces the announced chunks. Indices that are not below @p chunkCount are ignored.
void updateFetches(AnnouncedFetches &fetches, const std::vector<std::uint32_t> &chunks, std::size_t chunkCount, Core::Instant now);

/// Returns whether the chunk is announced, and has been for less than AnnouncementLimit.
bool isFetchExpected(const AnnouncedFetches &fetches, Weights::ChunkIndex chunk, Core::Instant now);

}
