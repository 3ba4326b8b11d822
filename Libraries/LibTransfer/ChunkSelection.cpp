/// @file Implementation of chunk and peer selection.

#include "LibTransfer/ChunkSelection.h"

namespace Transfer {

namespace {

struct HolderSummary
{
    std::uint32_t m_sameRegionCount = 0; ///< Peers of the own region that hold the chunk, usable or not.
    bool m_isAvailable = false; ///< The chunk can be requested from at least one usable peer.
};

HolderSummary summarizeHolders(const WantedChunk &chunk, const std::vector<SourcePeer> &peers)
{
    HolderSummary holders;
    bool isAvailableElsewhere = false;
    for (const SourcePeer &peer : peers) {
        if (!(*peer.m_holds)[chunk.m_chunk]) {
            continue;
        }
        if (peer.m_isSameRegion) {
            ++holders.m_sameRegionCount;
            holders.m_isAvailable = holders.m_isAvailable || peer.m_isUsable;
        } else {
            isAvailableElsewhere = isAvailableElsewhere || peer.m_isUsable;
        }
    }
    const bool mayImport = chunk.m_mayImport && holders.m_sameRegionCount == 0;
    holders.m_isAvailable = holders.m_isAvailable || (mayImport && isAvailableElsewhere);
    return holders;
}

/// Selects one of several equivalent elements with equal probability.
class RandomTieBreaker
{
public:
    explicit RandomTieBreaker(Core::Random &random)
        : m_random(random)
    {
    }

    void reset()
    {
        m_seen = 1;
    }

    bool acceptsNext()
    {
        return m_random.below(++m_seen) == 0;
    }

private:
    Core::Random &m_random;
    std::uint64_t m_seen = 1;
};

}

std::optional<PeerIndex> selectPeer(const WantedChunk &chunk, const std::vector<SourcePeer> &peers, Core::Random &random)
{
    const bool fromOtherRegion = chunk.m_mayImport && summarizeHolders(chunk, peers).m_sameRegionCount == 0;
    const SourcePeer *best = nullptr;
    RandomTieBreaker tieBreaker(random);
    for (const SourcePeer &peer : peers) {
        const bool isEligible = peer.m_isUsable && peer.m_isSameRegion != fromOtherRegion && (*peer.m_holds)[chunk.m_chunk];
        if (!isEligible) {
            continue;
        }
        if (!best || peer.m_load < best->m_load) {
            best = &peer;
            tieBreaker.reset();
        } else if (peer.m_load == best->m_load && tieBreaker.acceptsNext()) {
            best = &peer;
        }
    }
    return best ? std::optional<PeerIndex>(best->m_peer) : std::nullopt;
}

std::optional<ChunkSelection> selectChunk(const std::vector<WantedChunk> &wanted, const std::vector<SourcePeer> &peers, Core::Random &random)
{
    std::optional<ChunkSelection> best;
    std::pair<std::uint32_t, std::uint32_t> bestKey;
    RandomTieBreaker tieBreaker(random);
    for (const WantedChunk &chunk : wanted) {
        const HolderSummary holders = summarizeHolders(chunk, peers);
        if (!holders.m_isAvailable) {
            continue;
        }
        const std::optional<PeerIndex> index = selectPeer(chunk, peers, random);
        const std::vector<SourcePeer>::const_iterator peer =
            std::find_if(peers.begin(), peers.end(), [&index](const SourcePeer &candidate) { return candidate.m_peer == *index; });
        const std::pair<std::uint32_t, std::uint32_t> key(holders.m_sameRegionCount == 0 ? 0 : peer->m_load, holders.m_sameRegionCount);
        if (!best || key < bestKey) {
            best = ChunkSelection{chunk.m_chunk, *index};
            bestKey = key;
            tieBreaker.reset();
        } else if (key == bestKey && tieBreaker.acceptsNext()) {
            best = ChunkSelection{chunk.m_chunk, *index};
        }
    }
    return best;
}

}
