/// @file Which chunk to ask of which peer next: a pure decision.
#pragma once

#include "LibCore/Random.h"
#include "LibTransfer/RendezvousRanking.h"
#include "LibWeights/Manifest.h"

#include <optional>
#include <vector>

namespace Transfer {

/// A peer as the picker sees it.
struct SourcePeer
{
    PeerIndex m_peer = 0;
    bool m_isSameRegion = true;
    bool m_isUsable = true; ///< Alive, not set aside, not just busy, and with room for one more of our requests.
    std::uint32_t m_load = 0; ///< Our requests there, and the queue that it reported.
    const std::vector<bool> *m_holds = nullptr; ///< One element for each chunk.
};

/// A chunk that is wanted and not on its way.
struct WantedChunk
{
    Weights::ChunkIndex m_chunk = 0;
    bool m_mayImport = false; ///< This replica is to bring the chunk into its region.
};

struct ChunkSelection
{
    Weights::ChunkIndex m_chunk = 0;
    PeerIndex m_peer = 0;

    bool operator==(const ChunkSelection &) const = default;
};

/**
 * The rarest chunk that some usable peer holds, ties broken at random, from the least loaded such peer.
 *
 * Rarity counts the followed peers of the own region: what is rare there is what the region's links will be short of at the end.
 * A peer of another region is asked only for a chunk that this replica is to import and that nobody near holds.
 */
std::optional<ChunkSelection> selectChunk(const std::vector<WantedChunk> &wanted, const std::vector<SourcePeer> &peers, Core::Random &random);

/// The least loaded usable peer that holds the chunk, ties broken at random; near peers first.
std::optional<PeerIndex> selectPeer(const WantedChunk &chunk, const std::vector<SourcePeer> &peers, Core::Random &random);

}
