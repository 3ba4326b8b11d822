/// @file Tests of chunk selection, the upload queue and the pacer.

#include "LibCore/Random.h"
#include "LibTransfer/ChunkSelection.h"
#include "LibTransfer/Pacer.h"
#include "LibTransfer/UploadQueue.h"

#include <catch2/catch.hpp>
#include <random>

TEST_CASE("A selected chunk is wanted and held by a usable, least loaded peer, and crosses regions only for an import")
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
        const std::optional<Transfer::ChunkSelection> selection = Transfer::selectChunk(wanted, peers, random);
        const auto isHeldInRegion = [&](Weights::ChunkIndex chunk) {
            return std::any_of(peers.begin(), peers.end(), [chunk](const Transfer::SourcePeer &peer) { return peer.m_isSameRegion && (*peer.m_holds)[chunk]; });
        };
        const auto maySelect = [&](const Transfer::WantedChunk &chunk, const Transfer::SourcePeer &peer) {
            const bool fits = peer.m_isSameRegion || (chunk.m_mayImport && !isHeldInRegion(chunk.m_chunk));
            return peer.m_isUsable && fits && (*peer.m_holds)[chunk.m_chunk];
        };
        bool possible = false;
        for (const Transfer::WantedChunk &chunk : wanted) {
            for (const Transfer::SourcePeer &peer : peers) {
                possible = possible || maySelect(chunk, peer);
            }
        }
        REQUIRE(selection.has_value() == possible);
        if (!selection) {
            continue;
        }
        const std::vector<Transfer::WantedChunk>::const_iterator chunk = std::find_if(
            wanted.begin(), wanted.end(), [&selection](const Transfer::WantedChunk &candidate) { return candidate.m_chunk == selection->m_chunk; });
        REQUIRE(chunk != wanted.end());
        REQUIRE(maySelect(*chunk, peers[selection->m_peer]));
        for (const Transfer::SourcePeer &peer : peers) {
            REQUIRE((!maySelect(*chunk, peer) || peer.m_load >= peers[selection->m_peer].m_load));
        }
    }
}

TEST_CASE("Among equally loaded peers the rarest chunk is selected")
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

TEST_CASE("Uploads for other regions go first, then the chunk sent least often, then the oldest request")
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

TEST_CASE("Many requests of neighbours do not prevent the first copy for another region from being queued")
{
    // All neighbours request a downloader's newest chunk at the same time. With a single queue, a whole region would wait behind them.
    Transfer::UploadLimits limits;
    limits.m_waiting = 2;
    const std::vector<Transfer::QueuedUpload> waiting = {{1, "v", 1, false}, {2, "v", 1, false}};
    REQUIRE_FALSE(Transfer::canQueueUpload(waiting, false, limits));
    REQUIRE(Transfer::canQueueUpload(waiting, true, limits));
}

TEST_CASE("The pacer never admits more than its rate and one burst")
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
    std::uint64_t charged = 0;
    for (int step = 0; step < 5000; ++step) {
        now += Core::Duration(random.below(20));
        if (random.below(50) == 0) {
            const std::uint64_t bytes = random.below(largest);
            pacer.charge(bytes, now);
            charged += bytes;
        }
        const std::uint64_t bytes = 1 + random.below(largest);
        taken += pacer.tryTake(bytes, now) ? bytes : 0;
        const double allowed = static_cast<double>(rate) * Core::secondsBetween(start, now) + burst + largest;
        REQUIRE(static_cast<double>(taken + charged) <= allowed + 2 * burst);
    }
    // Usage below the rate is always admitted.
    now += Core::Duration(1000);
    REQUIRE(pacer.timeUntilReady(now) == Core::Duration(0));
    REQUIRE(pacer.tryTake(1, now));
}

TEST_CASE("The number of queued uploads follows from the size of a chunk and the rate of the link")
{
    // With a fixed number, small chunks leave uploaders idle and large ones wait while other uploaders are idle.
    constexpr Core::Duration queueTime(190);
    CHECK(Transfer::queuedUploadLimit(24576, 821250, queueTime, 12) == 6);
    CHECK(Transfer::queuedUploadLimit(49152, 1057500, queueTime, 12) == 4);
    CHECK(Transfer::queuedUploadLimit(1 << 20, 821250, queueTime, 12) == 2);
    CHECK(Transfer::queuedUploadLimit(24576, 0, queueTime, 12) == 12);
    CHECK(Transfer::queuedUploadLimit(24576, 821250, Core::Duration(0), 12) == 12);
}
