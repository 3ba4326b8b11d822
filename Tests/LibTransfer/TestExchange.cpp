/// @file Decisions of one replica in a burst: who draws, who takes over, what is asked again. Time is made up.

#include "LibTransfer/Exchange.h"

#include <catch2/catch.hpp>
#include <random>

namespace {

constexpr std::uint32_t ChunkSize = 1024;
constexpr Weights::ChunkIndex Chunks = 24;
constexpr Core::Duration Step{20};

Weights::Manifest makeManifest()
{
    return Weights::buildManifest("drafts", "1", std::string(std::size_t{ChunkSize} * Chunks, 'x'), ChunkSize).value();
}

Control::PlannedReplica makeReplica(std::uint32_t number, const std::string &region)
{
    return Control::PlannedReplica{"i" + std::to_string(number), region, region, Core::Address{"127.0.0.1", static_cast<std::uint16_t>(1000 + number)}};
}

/// One exchange whose peers the test plays.
struct Bench
{
    Transfer::TransferSettings m_settings;
    std::vector<Control::PlannedReplica> m_replicas;
    std::unique_ptr<Transfer::Exchange> m_exchange;
    Transfer::Pacer m_pacer{0, 0, Core::Instant()};
    Core::Instant m_now;
    std::set<Core::Address> m_silent; ///< Peers that say nothing.
    std::set<Core::Address> m_dead; ///< Peers whose streams end at once.
    std::set<Core::Address> m_cannotDraw;
    std::map<Core::Address, std::vector<std::uint32_t>> m_holdings;
    std::set<Core::Address> m_followed;
    std::vector<Transfer::Action> m_asked; ///< Every AskPeer and AskOrigin so far.
    bool m_isOriginAway = false; ///< Draws fail as soon as they are asked for.
    Transfer::TransferMode m_effort = Transfer::TransferMode::Full;

    Bench(std::uint32_t replicas, std::uint32_t own, std::uint32_t originCopies = 1)
    {
        m_settings.m_concurrentPeerRequests = Chunks;
        m_settings.m_originConnections = Chunks;
        for (std::uint32_t number = 0; number < replicas; ++number) {
            m_replicas.push_back(makeReplica(number, "hcm"));
        }
        m_exchange = std::make_unique<Transfer::Exchange>(
            m_settings, Transfer::Exchange::Identity{"digest", m_replicas[own].m_instance, "hcm", 1}, makeManifest(), m_now);
        m_exchange->setReplicas(m_replicas, originCopies);
    }

    /// Lets time pass; peers answer as the sets say. Requests stay open unless the test ends them.
    std::vector<Transfer::Action> run(Core::Duration time)
    {
        std::vector<Transfer::Action> asked;
        for (Core::Duration passed{0}; passed < time; passed += Step) {
            m_now += Step;
            for (const Transfer::Action &action : m_exchange->decide(m_pacer, m_now, m_effort)) {
                if (action.m_kind == Transfer::ActionKind::Follow) {
                    m_followed.insert(action.m_peer);
                } else if (action.m_kind == Transfer::ActionKind::Unfollow) {
                    m_followed.erase(action.m_peer);
                } else if (action.m_kind != Transfer::ActionKind::Cancel) {
                    asked.push_back(action);
                }
                if (m_isOriginAway && action.m_kind == Transfer::ActionKind::RequestFromOrigin) {
                    m_exchange->onRequestFailed(action.m_request, Transfer::Failure::Unavailable, m_now);
                }
            }
            const std::set<Core::Address> followed = m_followed;
            for (const Core::Address &peer : followed) {
                answer(peer);
            }
        }
        m_asked.insert(m_asked.end(), asked.begin(), asked.end());
        return asked;
    }

    void answer(const Core::Address &peer)
    {
        if (m_dead.contains(peer)) {
            m_followed.erase(peer);
            m_exchange->onFollowEnded(peer, m_now);
            return;
        }
        if (m_silent.contains(peer)) {
            return;
        }
        Transfer::HaveUpdate update;
        update.m_participates = true;
        update.m_canDownloadFromOrigin = !m_cannotDraw.contains(peer);
        update.m_added = m_holdings[peer];
        m_exchange->onUpdate(peer, update, m_now);
    }

    /// Chunks that have been drawn from the origin.
    std::set<Weights::ChunkIndex> drawn() const
    {
        std::set<Weights::ChunkIndex> chunks;
        for (const Transfer::Action &action : m_asked) {
            if (action.m_kind == Transfer::ActionKind::RequestFromOrigin) {
                chunks.insert(action.m_chunk);
            }
        }
        return chunks;
    }

    /// Chunks for which the replica has the given rank.
    std::set<Weights::ChunkIndex> ranked(std::uint32_t number, std::size_t rank) const
    {
        std::vector<Transfer::Candidate> candidates;
        for (std::uint32_t index = 0; index < m_replicas.size(); ++index) {
            candidates.push_back(Transfer::Candidate{index, Transfer::candidateHash(m_replicas[index].m_instance)});
        }
        std::set<Weights::ChunkIndex> chunks;
        for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
            if (Transfer::topRanked(Transfer::itemHash("digest", chunk), candidates, m_replicas.size())[rank] == number) {
                chunks.insert(chunk);
            }
        }
        return chunks;
    }
};

}

TEST_CASE("a replica draws exactly the chunks that it ranks first for")
{
    Bench bench(4, 0);
    bench.run(Core::Duration(5000));
    REQUIRE(bench.drawn() == bench.ranked(0, 0));
}

TEST_CASE("the successor draws when the first drawer's instance is dead")
{
    // A drawer dies before it has passed its chunks on. Without a successor the burst would never end, anywhere.
    Bench bench(2, 0);
    bench.m_dead = {bench.m_replicas[1].m_wire};
    bench.run(Core::Duration(2000));
    REQUIRE(bench.drawn().size() == Chunks);
}

TEST_CASE("the successor draws when the first drawer has frozen although its connection stays open")
{
    Bench bench(2, 0);
    bench.run(Core::Duration(500));
    REQUIRE(bench.drawn() == bench.ranked(0, 0));
    bench.m_silent = {bench.m_replicas[1].m_wire};
    bench.run(Core::Duration(4000));
    REQUIRE(bench.drawn().size() == Chunks);
}

TEST_CASE("the successor draws when the first drawer cannot reach the origin")
{
    // A pair of regions has lost each other, and the drawer stands on the wrong side.
    Bench bench(2, 0);
    bench.m_cannotDraw = {bench.m_replicas[1].m_wire};
    bench.run(Core::Duration(2000));
    REQUIRE(bench.drawn().size() == Chunks);
}

TEST_CASE("nobody stands in for others while the origin is away from all")
{
    // The origin is down just after a version was declared. Everybody says that it cannot draw. If that made successors of all, the origin would send every
    // chunk several times on its return, and the fleet would wait several times as long for a version that requests must begin on already.
    Bench bench(6, 0);
    for (std::size_t number = 1; number < bench.m_replicas.size(); ++number) {
        bench.m_cannotDraw.insert(bench.m_replicas[number].m_wire);
    }
    bench.m_isOriginAway = true;
    bench.run(Core::Duration(6000));
    bench.m_asked.clear(); // These brought nothing.
    bench.m_isOriginAway = false;
    const std::vector<Transfer::Action> asked = bench.run(Core::Duration(600));
    REQUIRE(!asked.empty());
    bench.m_exchange->onRequestSucceeded(asked.front().m_request, bench.m_now);
    bench.m_exchange->onChunkHeld(asked.front().m_chunk, bench.m_now);
    bench.run(Core::Duration(800));
    CHECK(bench.drawn() == bench.ranked(0, 0));
    // The others still cannot a second later: then the origin is away from them alone.
    bench.run(Core::Duration(1500));
    CHECK(bench.drawn().size() == Chunks);
}

TEST_CASE("of a version that is not the most urgent only the own draws are made")
{
    // Two versions are declared two seconds apart, and the origin goes away soon after the second. Chunks that left it by then shorten the wait for the
    // second version; asking peers for them too would delay the first.
    Bench bench(4, 0);
    bench.m_effort = Transfer::TransferMode::OwnDownloadsOnly;
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        if (!bench.ranked(0, 0).contains(chunk)) {
            bench.m_holdings[bench.m_replicas[1].m_wire].push_back(chunk);
        }
    }
    bench.run(Core::Duration(3000));
    CHECK(bench.drawn() == bench.ranked(0, 0));
    CHECK(std::none_of(
        bench.m_asked.begin(), bench.m_asked.end(), [](const Transfer::Action &action) { return action.m_kind == Transfer::ActionKind::RequestFromPeer; }));
}

TEST_CASE("a slow drawer that is alive keeps its chunks, so that a slow origin is not asked for them twice")
{
    Bench bench(2, 0);
    bench.run(Core::Duration(30000));
    REQUIRE(bench.drawn() == bench.ranked(0, 0));
}

TEST_CASE("the successor draws what a slow first drawer alone holds back")
{
    // The link of one instance narrows to a few percent. Its agent lives and says so, but its chunks come to nobody for seconds; as every engine needs
    // every chunk, the whole fleet waits for the new version, and callers are refused once its bound has come.
    Bench bench(6, 0);
    constexpr std::uint32_t slow = 5;
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        if (!bench.ranked(slow, 0).contains(chunk)) {
            bench.m_holdings[bench.m_replicas[1].m_wire].push_back(chunk);
            bench.m_holdings[bench.m_replicas[2].m_wire].push_back(chunk);
        }
    }
    bench.run(Core::Duration(5000));
    const std::set<Weights::ChunkIndex> drawn = bench.drawn();
    std::size_t takenOver = 0;
    for (const Weights::ChunkIndex chunk : bench.ranked(slow, 0)) {
        const bool isNext = bench.ranked(0, 1).contains(chunk) || bench.ranked(0, 2).contains(chunk);
        CHECK(drawn.contains(chunk) == isNext);
        takenOver += isNext ? 1 : 0;
    }
    CHECK(takenOver > 0);
}

TEST_CASE("a replica that joins when its neighbours hold everything draws nothing")
{
    // An instance is replaced with nothing after the burst. Its chunks are all around; drawing them would cost origin bytes.
    Bench bench(4, 0);
    std::vector<std::uint32_t> everything;
    for (std::uint32_t chunk = 0; chunk < Chunks; ++chunk) {
        everything.push_back(chunk);
    }
    for (std::uint32_t number = 1; number < 4; ++number) {
        bench.m_holdings[bench.m_replicas[number].m_wire] = everything;
    }
    bench.run(Core::Duration(1000));
    REQUIRE(bench.drawn().empty());
    REQUIRE_FALSE(bench.m_asked.empty());
}

TEST_CASE("within the origin budget a replica draws what it ranks second for, but never what is beyond the budget")
{
    Bench bench(4, 0, 2);
    bench.run(Core::Duration(5000));
    std::set<Weights::ChunkIndex> allowed = bench.ranked(0, 0);
    const std::set<Weights::ChunkIndex> second = bench.ranked(0, 1);
    allowed.insert(second.begin(), second.end());
    REQUIRE(bench.drawn() == allowed);
}

TEST_CASE("a peer that sent a bad chunk is asked no more, and its chunks are fetched elsewhere")
{
    // A peer's memory or link damages chunks. Asking it again and again would hold up the burst.
    Bench bench(2, 0);
    const Core::Address bad = bench.m_replicas[1].m_wire;
    bench.m_holdings[bad] = {0, 1, 2};
    const std::vector<Transfer::Action> asked = bench.run(Core::Duration(200));
    std::size_t askedOfBad = 0;
    for (const Transfer::Action &action : asked) {
        if (action.m_kind == Transfer::ActionKind::RequestFromPeer) {
            ++askedOfBad;
            bench.m_exchange->onRequestFailed(action.m_request, Transfer::Failure::Corrupt, bench.m_now);
        }
    }
    REQUIRE(askedOfBad > 0);
    for (const Transfer::Action &action : bench.run(Core::Duration(10000))) {
        REQUIRE(action.m_kind == Transfer::ActionKind::RequestFromOrigin);
    }
    REQUIRE(bench.drawn().size() == Chunks);
}

TEST_CASE("a peer that announces chunks and never delivers them is set aside")
{
    // It froze in a way that its signs of life still come. Everybody else believes the chunks are at hand and does not draw them.
    Bench bench(2, 0);
    bench.m_holdings[bench.m_replicas[1].m_wire] = {0, 1, 2, 3, 4, 5};
    bench.run(Core::Duration(15000));
    REQUIRE(bench.drawn().size() == Chunks);
    REQUIRE(bench.m_exchange->counts().m_stalls >= 3);
}

TEST_CASE("a late answer is asked of a second peer, and the slower of the two is cancelled")
{
    Bench bench(3, 0);
    bench.m_holdings[bench.m_replicas[1].m_wire] = {0};
    bench.m_holdings[bench.m_replicas[2].m_wire] = {0};
    std::vector<Transfer::Action> asked = bench.run(Core::Duration(1000));
    std::erase_if(asked, [](const Transfer::Action &action) { return action.m_kind != Transfer::ActionKind::RequestFromPeer; });
    REQUIRE(asked.size() == 2);
    REQUIRE(asked[0].m_peer != asked[1].m_peer);
    bench.m_exchange->onRequestSucceeded(asked[1].m_request, bench.m_now);
    const std::vector<Transfer::Action> superfluous = bench.m_exchange->onChunkHeld(0, bench.m_now);
    REQUIRE(superfluous.size() == 1);
    REQUIRE(superfluous[0].m_kind == Transfer::ActionKind::Cancel);
    REQUIRE(superfluous[0].m_request == asked[0].m_request);
}
