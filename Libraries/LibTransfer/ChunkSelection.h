/// @file Selects the next chunk to request and the peer to request it from. Pure functions.
#pragma once

#include "LibCore/Random.h"
#include "LibTransfer/RendezvousRanking.h"
#include "LibWeights/Manifest.h"

#include <optional>
#include <vector>

namespace Transfer {

/// A peer as a possible source of chunks.
struct SourcePeer
{
    PeerIndex m_peer = 0;
    bool m_isSameRegion = true;
    bool m_isUsable = true; ///< Alive, not excluded, not recently busy, and below the limit of requests per peer.
    std::uint32_t m_load = 0; ///< Open requests to the peer plus the uploads that it reported as queued.
    const std::vector<bool> *m_holds = nullptr; ///< One element for each chunk.
};

/// A chunk that is missing and not requested.
struct WantedChunk
{
    Weights::ChunkIndex m_chunk = 0;
    bool m_mayImport = false; ///< This replica should bring the chunk into its region.
};

struct ChunkSelection
{
    Weights::ChunkIndex m_chunk = 0;
    PeerIndex m_peer = 0;

    bool operator==(const ChunkSelection &) const = default;
};

/**
 * Selects the rarest chunk that a usable peer holds, and the least loaded peer that holds it. Ties are broken at random.
 *
 * Rarity is the number of holders among the followed peers of the own region, because a chunk that is rare there will limit the region's links at the end of
 * the burst. A peer of another region is selected only for a chunk that this replica should import and that no peer of the own region holds.
 */
std::optional<ChunkSelection> selectChunk(const std::vector<WantedChunk> &wanted, const std::vector<SourcePeer> &peers, Core::Random &random);

/// Selects the least loaded usable peer that holds the chunk, preferring peers of the own region. Ties are broken at random.
std::optional<PeerIndex> selectPeer(const WantedChunk &chunk, const std::vector<SourcePeer> &peers, Core::Random &random);

}
