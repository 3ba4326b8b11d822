/// @file Implementation of the announced fetches.

#include "LibTransfer/AnnouncedFetches.h"

namespace Transfer {

void updateFetches(AnnouncedFetches &fetches, const std::vector<std::uint32_t> &chunks, std::size_t chunkCount, Core::Instant now)
{
    fetches.m_current.clear();
    for (const std::uint32_t chunk : chunks) {
        if (chunk < chunkCount) {
            fetches.m_current.insert(chunk);
            fetches.m_firstAnnouncedAt.try_emplace(chunk, now);
        }
    }
}

bool isFetchExpected(const AnnouncedFetches &fetches, Weights::ChunkIndex chunk, Core::Instant now)
{
    return fetches.m_current.contains(chunk) && now - fetches.m_firstAnnouncedAt.at(chunk) < AnnouncementLimit;
}

}
