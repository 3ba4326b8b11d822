/// @file Tests of the ranking and the neighbour selection with random sets of replicas.

#include "LibCore/Random.h"
#include "LibTransfer/RendezvousRanking.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <set>

namespace {

std::vector<Transfer::Candidate> makeCandidates(Core::Random &random, std::size_t count)
{
    std::vector<Transfer::Candidate> candidates;
    for (std::size_t index = 0; index < count; ++index) {
        candidates.push_back(Transfer::Candidate{static_cast<Transfer::PeerIndex>(index), Transfer::candidateHash(std::to_string(random.next()))});
    }
    return candidates;
}

}

TEST_CASE("Every replica computes the same ranking, regardless of the order of its list")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    const std::vector<Transfer::Candidate> candidates = makeCandidates(random, 2 + random.below(200));
    std::vector<Transfer::Candidate> reversed(candidates.rbegin(), candidates.rend());
    for (std::uint32_t chunk = 0; chunk < 50; ++chunk) {
        const std::uint64_t item = Transfer::itemHash("digest", chunk);
        const std::vector<Transfer::PeerIndex> top = Transfer::topRanked(item, candidates, 5);
        REQUIRE(top == Transfer::topRanked(item, reversed, 5));
        for (std::size_t rank = 0; rank < top.size(); ++rank) {
            REQUIRE(Transfer::rankOf(candidates[top[rank]], item, candidates) == rank);
        }
    }
}

TEST_CASE("When a replica leaves, only the chunks for which it was ranked first move, each to its successor")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    const std::vector<Transfer::Candidate> candidates = makeCandidates(random, 3 + random.below(100));
    const Transfer::PeerIndex leaving = static_cast<Transfer::PeerIndex>(random.below(candidates.size()));
    std::vector<Transfer::Candidate> remaining = candidates;
    std::erase_if(remaining, [leaving](const Transfer::Candidate &candidate) { return candidate.m_peer == leaving; });
    for (std::uint32_t chunk = 0; chunk < 100; ++chunk) {
        const std::uint64_t item = Transfer::itemHash("digest", chunk);
        const std::vector<Transfer::PeerIndex> before = Transfer::topRanked(item, candidates, 2);
        REQUIRE(Transfer::topRanked(item, remaining, 1).front() == (before[0] == leaving ? before[1] : before[0]));
    }
}

TEST_CASE("The first downloader is also the first importer of its own region")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    const std::vector<Transfer::Candidate> candidates = makeCandidates(random, 30);
    for (std::uint32_t chunk = 0; chunk < 50; ++chunk) {
        const std::uint64_t item = Transfer::itemHash("digest", chunk);
        const Transfer::PeerIndex downloader = Transfer::topRanked(item, candidates, 1).front();
        std::vector<Transfer::Candidate> region;
        for (const Transfer::Candidate &candidate : candidates) {
            if (candidate.m_peer % 3 == downloader % 3) {
                region.push_back(candidate);
            }
        }
        REQUIRE(Transfer::topRanked(item, region, 1).front() == downloader);
    }
}

TEST_CASE("Neighbours are few, no replica has more followers than the degree, and every replica is reachable")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    constexpr std::size_t degree = 8;
    const std::vector<Transfer::Candidate> candidates = makeCandidates(random, 2 + random.below(300));
    std::vector<std::size_t> followers(candidates.size(), 0);
    std::vector<std::vector<Transfer::PeerIndex>> neighbours;
    for (const Transfer::Candidate &candidate : candidates) {
        neighbours.push_back(Transfer::ringNeighbours(candidate, candidates, degree));
        REQUIRE(neighbours.back().size() <= degree);
        for (const Transfer::PeerIndex neighbour : neighbours.back()) {
            REQUIRE(neighbour != candidate.m_peer);
            ++followers[neighbour];
        }
    }
    REQUIRE(*std::max_element(followers.begin(), followers.end()) <= degree);
    std::set<Transfer::PeerIndex> reached = {0};
    std::vector<Transfer::PeerIndex> frontier = {0};
    while (!frontier.empty()) {
        const Transfer::PeerIndex next = frontier.back();
        frontier.pop_back();
        for (const Transfer::PeerIndex neighbour : neighbours[next]) {
            if (reached.insert(neighbour).second) {
                frontier.push_back(neighbour);
            }
        }
    }
    REQUIRE(reached.size() == candidates.size());
}
