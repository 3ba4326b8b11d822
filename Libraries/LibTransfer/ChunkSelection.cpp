/// @file Implementation of the picker.

#include "LibTransfer/ChunkSelection.h"

namespace Transfer {

namespace {

struct Holders
{
    std::uint32_t m_near = 0; ///< Peers of the own region that hold the chunk, usable or not.
    bool m_isAvailable = false; ///< Some usable peer may be asked for it.
};

Holders countHolders(const WantedChunk &chunk, const std::vector<SourcePeer> &peers)
{
    Holders holders;
    bool farAvailable = false;
    for (const SourcePeer &peer : peers) {
        if (!(*peer.m_holds)[chunk.m_chunk]) {
            continue;
        }
        if (peer.m_isSameRegion) {
            ++holders.m_near;
            holders.m_isAvailable = holders.m_isAvailable || peer.m_isUsable;
        } else {
            farAvailable = farAvailable || peer.m_isUsable;
        }
    }
    const bool mayImport = chunk.m_mayImport && holders.m_near == 0;
    holders.m_isAvailable = holders.m_isAvailable || (mayImport && farAvailable);
    return holders;
}

/// Keeps one of several equals with equal chances.
class TieBreak
{
public:
    explicit TieBreak(Core::Random &random)
        : m_random(random)
    {
    }

    void restart()
    {
        m_seen = 1;
    }

    bool takesNext()
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
    const bool fromFar = chunk.m_mayImport && countHolders(chunk, peers).m_near == 0;
    const SourcePeer *best = nullptr;
    TieBreak tie(random);
    for (const SourcePeer &peer : peers) {
        const bool eligible = peer.m_isUsable && peer.m_isSameRegion != fromFar && (*peer.m_holds)[chunk.m_chunk];
        if (!eligible) {
            continue;
        }
        if (!best || peer.m_load < best->m_load) {
            best = &peer;
            tie.restart();
        } else if (peer.m_load == best->m_load && tie.takesNext()) {
            best = &peer;
        }
    }
    return best ? std::optional<PeerIndex>(best->m_peer) : std::nullopt;
}

std::optional<ChunkSelection> selectChunk(const std::vector<WantedChunk> &wanted, const std::vector<SourcePeer> &peers, Core::Random &random)
{
    std::optional<ChunkSelection> best;
    std::pair<std::uint32_t, std::uint32_t> bestKey;
    TieBreak tie(random);
    for (const WantedChunk &chunk : wanted) {
        const Holders holders = countHolders(chunk, peers);
        if (!holders.m_isAvailable) {
            continue;
        }
        const std::optional<PeerIndex> index = selectPeer(chunk, peers, random);
        const std::vector<SourcePeer>::const_iterator peer =
            std::find_if(peers.begin(), peers.end(), [&index](const SourcePeer &candidate) { return candidate.m_peer == *index; });
        const std::pair<std::uint32_t, std::uint32_t> key(holders.m_near == 0 ? 0 : peer->m_load, holders.m_near);
        if (!best || key < bestKey) {
            best = ChunkSelection{chunk.m_chunk, *index};
            bestKey = key;
            tie.restart();
        } else if (key == bestKey && tie.takesNext()) {
            best = ChunkSelection{chunk.m_chunk, *index};
        }
    }
    return best;
}

}
