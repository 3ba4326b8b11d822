/// @file Rendezvous ranking. Every replica computes the same assignment of work in a burst from the list of replicas, without coordination.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Transfer {

/// Index of a replica in an exchange's list of peers.
using PeerIndex = std::uint32_t;

/// A replica to be ranked.
struct Candidate
{
    PeerIndex m_peer = 0;
    std::uint64_t m_hash = 0; ///< See candidateHash().

    bool operator==(const Candidate &) const = default;
};

/// Returns the hash of an instance's name. It is the same on every instance.
std::uint64_t candidateHash(const std::string &instance);

/// Returns the hash of the item to rank for: a chunk, or the manifest if @p item is ManifestItem.
std::uint64_t itemHash(const std::string &manifestDigest, std::uint32_t item);
inline constexpr std::uint32_t ManifestItem = ~std::uint32_t{0};

/// Returns the @p count candidates with the highest rendezvous weights for the item, highest first.
std::vector<PeerIndex> topRanked(std::uint64_t item, const std::vector<Candidate> &candidates, std::size_t count);

/// Returns the number of candidates that rank before @p self.
std::size_t rankOf(const Candidate &self, std::uint64_t item, const std::vector<Candidate> &candidates);

/**
 * Returns the candidates that @p self follows: its successors on @p degree rings, each of which is a random order of all candidates.
 *
 * Every candidate has one successor and one predecessor on each ring, so no candidate is followed by many more than others, and the union of the random rings
 * is connected and has a small diameter.
 */
std::vector<PeerIndex> ringNeighbours(const Candidate &self, const std::vector<Candidate> &candidates, std::size_t degree);

}
