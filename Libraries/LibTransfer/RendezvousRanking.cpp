/// @file Implementation of rendezvous ranking and neighbour selection.

#include "LibTransfer/RendezvousRanking.h"

#include "LibCore/Random.h"

#include <algorithm>

namespace Transfer {

namespace {

std::uint64_t rendezvousWeight(std::uint64_t item, const Candidate &candidate)
{
    return Core::Random(item ^ candidate.m_hash).next();
}

/// Strict total order, even if weights collide.
bool ranksBefore(std::uint64_t item, const Candidate &left, const Candidate &right)
{
    const std::uint64_t leftWeight = rendezvousWeight(item, left);
    const std::uint64_t rightWeight = rendezvousWeight(item, right);
    return leftWeight != rightWeight ? leftWeight > rightWeight : left.m_hash > right.m_hash;
}

struct WeightedCandidate
{
    std::uint64_t m_weight = 0;
    Candidate m_candidate;
};

}

std::uint64_t candidateHash(const std::string &instance)
{
    return Core::stableHash(instance);
}

std::uint64_t itemHash(const std::string &manifestDigest, std::uint32_t item)
{
    return Core::stableHash(manifestDigest, item);
}

std::vector<PeerIndex> topRanked(std::uint64_t item, const std::vector<Candidate> &candidates, std::size_t count)
{
    std::vector<WeightedCandidate> weighted;
    weighted.reserve(candidates.size());
    for (const Candidate &candidate : candidates) {
        weighted.push_back(WeightedCandidate{rendezvousWeight(item, candidate), candidate});
    }
    const std::size_t kept = std::min(count, weighted.size());
    const auto before = [](const WeightedCandidate &left, const WeightedCandidate &right) {
        return left.m_weight != right.m_weight ? left.m_weight > right.m_weight : left.m_candidate.m_hash > right.m_candidate.m_hash;
    };
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(kept), weighted.end(), before);
    std::vector<PeerIndex> top;
    for (std::size_t index = 0; index < kept; ++index) {
        top.push_back(weighted[index].m_candidate.m_peer);
    }
    return top;
}

std::size_t rankOf(const Candidate &self, std::uint64_t item, const std::vector<Candidate> &candidates)
{
    std::size_t rank = 0;
    for (const Candidate &candidate : candidates) {
        if (candidate.m_hash != self.m_hash && ranksBefore(item, candidate, self)) {
            ++rank;
        }
    }
    return rank;
}

std::vector<PeerIndex> ringNeighbours(const Candidate &self, const std::vector<Candidate> &candidates, std::size_t degree)
{
    std::vector<PeerIndex> neighbours;
    if (candidates.size() <= degree + 1) {
        for (const Candidate &candidate : candidates) {
            if (candidate.m_hash != self.m_hash) {
                neighbours.push_back(candidate.m_peer);
            }
        }
        return neighbours;
    }
    for (std::size_t ring = 0; ring < degree; ++ring) {
        const std::uint64_t salt = Core::stableHash("ring", ring);
        const std::uint64_t own = rendezvousWeight(salt, self);
        const Candidate *successor = nullptr;
        std::uint64_t closest = 0;
        for (const Candidate &candidate : candidates) {
            // Distance around the ring. Unsigned arithmetic wraps around like the ring.
            const std::uint64_t distance = rendezvousWeight(salt, candidate) - own;
            if (candidate.m_hash != self.m_hash && (!successor || distance < closest)) {
                successor = &candidate;
                closest = distance;
            }
        }
        if (successor && std::find(neighbours.begin(), neighbours.end(), successor->m_peer) == neighbours.end()) {
            neighbours.push_back(successor->m_peer);
        }
    }
    return neighbours;
}

}
