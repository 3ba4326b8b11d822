/// @file Who does what in a burst, worked out by every replica alike from the list of replicas: nothing has to be agreed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Transfer {

/// Position of a replica in an exchange's list of peers.
using PeerIndex = std::uint32_t;

/// A replica as ranking sees it.
struct Candidate
{
    PeerIndex m_peer = 0;
    std::uint64_t m_hash = 0; ///< See candidateHash().

    bool operator==(const Candidate &) const = default;
};

/// Hash of an instance's name, the same on every instance.
std::uint64_t candidateHash(const std::string &instance);

/// Hash of what is ranked for: a chunk, or the manifest if @p item is ManifestItem.
std::uint64_t itemHash(const std::string &manifestDigest, std::uint32_t item);
inline constexpr std::uint32_t ManifestItem = ~std::uint32_t{0};

/// The @p count candidates with the highest rendezvous weights for the item, best first.
std::vector<PeerIndex> topRanked(std::uint64_t item, const std::vector<Candidate> &candidates, std::size_t count);

/// How many candidates rank before @p self.
std::size_t rankOf(const Candidate &self, std::uint64_t item, const std::vector<Candidate> &candidates);

/**
 * Whom @p self follows: its successors on @p degree rings, each a random order of all candidates.
 *
 * Every candidate has one successor and one predecessor on each ring, so that nobody is followed by many more than others,
 * and the union of random rings is connected and of small diameter.
 */
std::vector<PeerIndex> ringNeighbours(const Candidate &self, const std::vector<Candidate> &candidates, std::size_t degree);

}
