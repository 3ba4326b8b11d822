/// @file The picker, the upload queue and the pacer.

#include "LibCore/Random.h"
#include "LibTransfer/ChunkSelection.h"
#include "LibTransfer/Pacer.h"
#include "LibTransfer/UploadQueue.h"

#include <catch2/catch.hpp>
#include <random>

TEST_CASE("a pick is always a wanted chunk that a usable, least loaded holder has, and crosses regions only to import")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    for (int round = 0; round < 200; ++round) {
        const std::size_t chunks = 1 + random.below(20);
        std::vector<std::vector<bool>> holds(1 + random.below(8), std::vector<bool>(chunks));
        std::vector<Transfer::SourcePeer> peers;
        for (std::size_t index = 0; index < holds.size(); ++index) {
            for (std::size_t chunk = 0; chunk < chunks; ++chunk) {
                holds[index][chunk] = random.below(3) == 0;
            }
            Transfer::SourcePeer peer;
            peer.m_peer = static_cast<Transfer::PeerIndex>(index);
            peer.m_isSameRegion = random.below(4) != 0;
            peer.m_isUsable = random.below(3) != 0;
            peer.m_load = static_cast<std::uint32_t>(random.below(4));
            peer.m_holds = &holds[index];
            peers.push_back(peer);
        }
        std::vector<Transfer::WantedChunk> wanted;
        for (Weights::ChunkIndex chunk = 0; chunk < chunks; ++chunk) {
            if (random.below(2) == 0) {
                wanted.push_back(Transfer::WantedChunk{chunk, random.below(2) == 0});
            }
        }
        const std::optional<Transfer::ChunkSelection> pick = Transfer::selectChunk(wanted, peers, random);
        const auto isNearHeld = [&](Weights::ChunkIndex chunk) {
            return std::any_of(peers.begin(), peers.end(), [chunk](const Transfer::SourcePeer &peer) { return peer.m_isSameRegion && (*peer.m_holds)[chunk]; });
        };
        const auto mayTake = [&](const Transfer::WantedChunk &chunk, const Transfer::SourcePeer &peer) {
            const bool fits = peer.m_isSameRegion || (chunk.m_mayImport && !isNearHeld(chunk.m_chunk));
            return peer.m_isUsable && fits && (*peer.m_holds)[chunk.m_chunk];
        };
        bool possible = false;
        for (const Transfer::WantedChunk &chunk : wanted) {
            for (const Transfer::SourcePeer &peer : peers) {
                possible = possible || mayTake(chunk, peer);
            }
        }
        REQUIRE(pick.has_value() == possible);
        if (!pick) {
            continue;
        }
        const std::vector<Transfer::WantedChunk>::const_iterator chunk =
            std::find_if(wanted.begin(), wanted.end(), [&pick](const Transfer::WantedChunk &candidate) { return candidate.m_chunk == pick->m_chunk; });
        REQUIRE(chunk != wanted.end());
        REQUIRE(mayTake(*chunk, peers[pick->m_peer]));
        for (const Transfer::SourcePeer &peer : peers) {
            REQUIRE((!mayTake(*chunk, peer) || peer.m_load >= peers[pick->m_peer].m_load));
        }
    }
}

TEST_CASE("among equally loaded peers the rarest chunk goes first")
{
    Core::Random random(1);
    const std::vector<bool> both = {true, true};
    const std::vector<bool> common = {true, false};
    const std::vector<Transfer::SourcePeer> peers = {{0, true, true, 0, &both}, {1, true, true, 0, &common}};
    const std::vector<Transfer::WantedChunk> wanted = {{0, false}, {1, false}};
    for (int round = 0; round < 20; ++round) {
        REQUIRE(Transfer::selectChunk(wanted, peers, random) == Transfer::ChunkSelection{1, 0});
    }
}

TEST_CASE("uploads for other regions go first, then what was sent least, then the oldest")
{
    const std::map<std::string, Transfer::SentCounts> sent = {{"v", {{1, 3}, {2, 1}}}};
    std::vector<Transfer::QueuedUpload> waiting = {{1, "v", 1, false}, {2, "v", 2, false}, {3, "v", 3, false}, {4, "v", 4, false}, {5, "v", 1, true}};
    REQUIRE(Transfer::selectNextUpload(waiting, sent) == 4);
    waiting.pop_back();
    REQUIRE(Transfer::selectNextUpload(waiting, sent) == 2);
    waiting.erase(waiting.begin() + 2, waiting.end());
    REQUIRE(Transfer::selectNextUpload(waiting, sent) == 1);
    REQUIRE_FALSE(Transfer::selectNextUpload({}, sent));
}

TEST_CASE("a crowd of neighbours cannot keep out the first copy for another region")
{
    // Every neighbour asks a drawer for its newest chunk at once. If the queue were one, a whole region would wait behind them.
    Transfer::UploadLimits limits;
    limits.m_waiting = 2;
    const std::vector<Transfer::QueuedUpload> crowd = {{1, "v", 1, false}, {2, "v", 1, false}};
    REQUIRE_FALSE(Transfer::canQueueUpload(crowd, false, limits));
    REQUIRE(Transfer::canQueueUpload(crowd, true, limits));
}

TEST_CASE("whatever is asked of it, the pacer lets through no more than its rate and one burst")
{
    const std::uint64_t seed = std::random_device{}();
    CAPTURE(seed);
    Core::Random random(seed);
    constexpr std::uint64_t rate = 1'000'000;
    constexpr std::uint64_t burst = 50'000;
    constexpr std::uint64_t largest = 20'000;
    const Core::Instant start;
    Transfer::Pacer pacer(rate, burst, start);
    Core::Instant now = start;
    std::uint64_t taken = 0;
    std::uint64_t live = 0;
    for (int step = 0; step < 5000; ++step) {
        now += Core::Duration(random.below(20));
        if (random.below(50) == 0) {
            const std::uint64_t bytes = random.below(largest);
            pacer.charge(bytes, now);
            live += bytes;
        }
        const std::uint64_t bytes = 1 + random.below(largest);
        taken += pacer.tryTake(bytes, now) ? bytes : 0;
        const double allowed = static_cast<double>(rate) * Core::secondsBetween(start, now) + burst + largest;
        REQUIRE(static_cast<double>(taken + live) <= allowed + 2 * burst);
    }
    // And it does not starve what stays below the rate.
    now += Core::Duration(1000);
    REQUIRE(pacer.timeUntilReady(now) == Core::Duration(0));
    REQUIRE(pacer.tryTake(1, now));
}
