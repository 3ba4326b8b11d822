/// @file Tests of the decisions of one replica in a burst: which replica downloads, which takes over, and what is requested again. Time is simulated.

#include "LibTransfer/Exchange.h"

#include <catch2/catch.hpp>
#include <numeric>
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

/// One exchange with simulated peers.
struct ExchangeFixture
{
    Transfer::TransferSettings m_settings;
    std::vector<Control::PlannedReplica> m_replicas;
    std::uint32_t m_own = 0; ///< Index of the replica whose exchange is tested.
    std::uint32_t m_originCopies = 1;
    std::unique_ptr<Transfer::Exchange> m_exchange;
    Transfer::Pacer m_pacer{0, 0, Core::Instant()};
    Core::Instant m_now;
    std::set<Core::Address> m_silent; ///< Peers that send no updates.
    std::set<Core::Address> m_dead; ///< Peers whose streams end immediately.
    std::set<Core::Address> m_originUnreachable;
    std::map<Core::Address, std::vector<std::uint32_t>> m_holdings;
    std::map<Core::Address, std::vector<std::uint32_t>> m_fetching; ///< Chunks that peers announce to be on their way to them.
    std::set<Core::Address> m_followed;
    std::vector<Transfer::Action> m_requests; ///< Every RequestFromPeer and RequestFromOrigin action so far.
    bool m_isOriginDown = false; ///< Requests to the origin and probes fail immediately.
    std::size_t m_probes = 0;
    Transfer::TransferMode m_mode = Transfer::TransferMode::Full;

    ExchangeFixture(std::uint32_t replicas, std::uint32_t own, std::uint32_t originCopies = 1)
    {
        m_settings.m_concurrentPeerRequests = Chunks;
        m_settings.m_originConnections = Chunks;
        for (std::uint32_t number = 0; number < replicas; ++number) {
            m_replicas.push_back(makeReplica(number, "hcm"));
        }
        m_own = own;
        m_originCopies = originCopies;
        restartExchange();
    }

    /// Creates the exchange anew, with the settings of the fixture.
    void restartExchange()
    {
        m_exchange = std::make_unique<Transfer::Exchange>(
            m_settings, Transfer::Exchange::Identity{"digest", m_replicas[m_own].m_instance, "hcm", 1}, makeManifest(), m_now);
        m_exchange->setReplicas(m_replicas, m_originCopies);
    }

    /// Advances the time. Peers send updates as configured; requests stay open unless the test ends them.
    std::vector<Transfer::Action> advance(Core::Duration time)
    {
        std::vector<Transfer::Action> requests;
        for (Core::Duration passed{0}; passed < time; passed += Step) {
            m_now += Step;
            for (const Transfer::Action &action : m_exchange->decide(m_pacer, m_now, m_mode)) {
                if (action.m_kind == Transfer::ActionKind::Follow) {
                    m_followed.insert(action.m_peer);
                } else if (action.m_kind == Transfer::ActionKind::Unfollow) {
                    m_followed.erase(action.m_peer);
                } else if (action.m_kind == Transfer::ActionKind::ProbeOrigin) {
                    ++m_probes;
                    m_exchange->onOriginProbed(!m_isOriginDown, m_now);
                } else if (action.m_kind != Transfer::ActionKind::Cancel) {
                    requests.push_back(action);
                }
                if (m_isOriginDown && action.m_kind == Transfer::ActionKind::RequestFromOrigin) {
                    m_exchange->onRequestFailed(action.m_request, Transfer::Failure::Unavailable, m_now);
                }
            }
            const std::set<Core::Address> followed = m_followed;
            for (const Core::Address &peer : followed) {
                sendUpdate(peer);
            }
        }
        m_requests.insert(m_requests.end(), requests.begin(), requests.end());
        return requests;
    }

    void sendUpdate(const Core::Address &peer)
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
        update.m_canDownloadFromOrigin = !m_originUnreachable.contains(peer);
        update.m_added = m_holdings[peer];
        update.m_fetching = m_fetching[peer];
        m_exchange->onUpdate(peer, update, m_now);
    }

    /// Returns the chunks that were requested from the origin.
    std::set<Weights::ChunkIndex> downloadedChunks() const
    {
        std::set<Weights::ChunkIndex> chunks;
        for (const Transfer::Action &action : m_requests) {
            if (action.m_kind == Transfer::ActionKind::RequestFromOrigin) {
                chunks.insert(action.m_chunk);
            }
        }
        return chunks;
    }

    /// Returns the chunks for which the replica has the given rank.
    std::set<Weights::ChunkIndex> rankedChunks(std::uint32_t number, std::size_t rank) const
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

TEST_CASE("A replica downloads exactly the chunks for which it is ranked first")
{
    ExchangeFixture fixture(4, 0);
    fixture.advance(Core::Duration(5000));
    REQUIRE(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
}

TEST_CASE("The successor downloads if the instance of the first downloader is dead")
{
    // A downloader dies before it has sent its chunks to others. Without a successor the burst would never end on any replica.
    ExchangeFixture fixture(2, 0);
    fixture.m_dead = {fixture.m_replicas[1].m_wire};
    fixture.advance(Core::Duration(2000));
    REQUIRE(fixture.downloadedChunks().size() == Chunks);
}

TEST_CASE("The successor downloads if the first downloader has frozen while its connection stays open")
{
    ExchangeFixture fixture(2, 0);
    fixture.advance(Core::Duration(500));
    REQUIRE(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
    fixture.m_silent = {fixture.m_replicas[1].m_wire};
    fixture.advance(Core::Duration(4000));
    REQUIRE(fixture.downloadedChunks().size() == Chunks);
}

TEST_CASE("The successor downloads if the first downloader cannot reach the origin")
{
    // Two regions are disconnected from each other, and the downloader is not in the origin's part.
    ExchangeFixture fixture(2, 0);
    fixture.m_originUnreachable = {fixture.m_replicas[1].m_wire};
    fixture.advance(Core::Duration(2000));
    REQUIRE(fixture.downloadedChunks().size() == Chunks);
}

TEST_CASE("No replica takes over from others while the origin is unreachable for all")
{
    // The origin goes down just after a version was declared, and all replicas report that they cannot download. If every successor took over, the origin would
    // send each chunk several times after its recovery, and the fleet would wait several times as long for a version whose deadline has passed.
    ExchangeFixture fixture(6, 0);
    for (std::size_t number = 1; number < fixture.m_replicas.size(); ++number) {
        fixture.m_originUnreachable.insert(fixture.m_replicas[number].m_wire);
    }
    fixture.m_isOriginDown = true;
    fixture.advance(Core::Duration(6000));
    fixture.m_requests.clear(); // These requests failed.
    fixture.m_isOriginDown = false;
    const std::vector<Transfer::Action> requests = fixture.advance(Core::Duration(600));
    REQUIRE(!requests.empty());
    fixture.m_exchange->onRequestSucceeded(requests.front().m_request, fixture.m_now);
    fixture.m_exchange->onChunkHeld(requests.front().m_chunk, fixture.m_now);
    fixture.advance(Core::Duration(800));
    CHECK(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
    // A second later the others still cannot download, so the origin is unreachable for them alone.
    fixture.advance(Core::Duration(1500));
    CHECK(fixture.downloadedChunks().size() == Chunks);
}

TEST_CASE("After an outage of the origin the missing chunks are downloaded one after the other")
{
    // The origin is unreachable while all downloads become due. If all replicas requested their chunks at its recovery, the requests would share its link, all
    // chunks would end late, and nothing could be passed on meanwhile.
    constexpr Core::Duration chunkTime(100);
    constexpr std::uint64_t originBytesPerSecond = 10556; // A chunk takes 100 ms on the share of the link that carries chunks.
    ExchangeFixture fixture(2, 0);
    fixture.m_settings.m_originBytesPerSecond = originBytesPerSecond;
    fixture.restartExchange();
    std::vector<std::uint32_t> held;
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks / 2; ++chunk) {
        held.push_back(chunk);
    }
    fixture.m_holdings[fixture.m_replicas[1].m_wire] = held;
    fixture.m_originUnreachable.insert(fixture.m_replicas[1].m_wire);
    fixture.m_isOriginDown = true;
    fixture.advance(Core::Duration(6000));
    CHECK(fixture.m_probes > 0);
    fixture.m_isOriginDown = false;
    fixture.m_originUnreachable.clear();
    fixture.m_requests.clear();
    fixture.advance(Core::Duration(120));
    constexpr std::size_t concurrentDownloads = 3; // Two that share the link, and the next one when the first of them is due to end.
    CHECK(fixture.downloadedChunks().size() <= concurrentDownloads);
    fixture.advance(chunkTime * static_cast<std::int64_t>(Chunks / 2));
    std::set<Weights::ChunkIndex> missing = fixture.rankedChunks(0, 0);
    std::erase_if(missing, [](Weights::ChunkIndex chunk) { return chunk < Chunks / 2; });
    CHECK(fixture.downloadedChunks() == missing);
}

TEST_CASE("An unreachable origin is only probed, ten times a second at most")
{
    // Every replica of a large fleet retries while the origin is down. The origin accepts a limited number of connections, and requests that are open at its
    // recovery would all be answered at the same time.
    ExchangeFixture fixture(2, 0);
    fixture.m_isOriginDown = true;
    fixture.advance(Core::Duration(100));
    fixture.m_requests.clear();
    fixture.m_probes = 0;
    fixture.advance(Core::Duration(3000));
    CHECK(fixture.downloadedChunks().empty());
    CHECK(fixture.m_probes > 0);
    CHECK(fixture.m_probes <= 30);
}

TEST_CASE("A single corrupt chunk from the origin is requested again at once")
{
    ExchangeFixture fixture(1, 0);
    fixture.m_settings.m_originConnections = 1;
    fixture.restartExchange();
    const std::vector<Transfer::Action> first = fixture.advance(Core::Duration(200));
    REQUIRE(first.size() == 1);
    fixture.m_exchange->onRequestFailed(first[0].m_request, Transfer::Failure::Corrupt, fixture.m_now);
    const std::vector<Transfer::Action> second = fixture.advance(Step);
    REQUIRE(second.size() == 1);
    CHECK(second[0].m_chunk == first[0].m_chunk);
    fixture.m_exchange->onRequestFailed(second[0].m_request, Transfer::Failure::Corrupt, fixture.m_now);
    CHECK(fixture.advance(Core::Duration(200)).empty());
}

TEST_CASE("For a version that is not the most urgent, a replica downloads only the chunks for which it is ranked first")
{
    // Two versions are declared two seconds apart, and the origin goes down soon after the second. Chunks of the second version that were downloaded by then
    // shorten the wait for it; requesting its chunks from peers as well would delay the first version.
    ExchangeFixture fixture(4, 0);
    fixture.m_mode = Transfer::TransferMode::OwnDownloadsOnly;
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        if (!fixture.rankedChunks(0, 0).contains(chunk)) {
            fixture.m_holdings[fixture.m_replicas[1].m_wire].push_back(chunk);
        }
    }
    fixture.advance(Core::Duration(3000));
    CHECK(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
    CHECK(std::none_of(fixture.m_requests.begin(), fixture.m_requests.end(), [](const Transfer::Action &action) {
        return action.m_kind == Transfer::ActionKind::RequestFromPeer;
    }));
}

TEST_CASE("A replica that knows few others downloads nothing from the origin, but requests chunks from peers")
{
    // A replica joins in the middle of a burst and knows three of a hundred others. By its ranking it would download most chunks, and the origin's link would
    // carry them a second time while the whole fleet waits for the rest.
    ExchangeFixture fixture(4, 0);
    fixture.m_mode = Transfer::TransferMode::PeersOnly;
    fixture.m_holdings[fixture.m_replicas[1].m_wire] = {0, 1};
    fixture.advance(Core::Duration(3000));
    CHECK(fixture.downloadedChunks().empty());
    CHECK(std::count_if(fixture.m_requests.begin(),
                        fixture.m_requests.end(),
                        [](const Transfer::Action &action) { return action.m_kind == Transfer::ActionKind::RequestFromPeer; })
          >= 2);
}

TEST_CASE("A slow downloader that is alive keeps its chunks, so that a slow origin does not have to send them twice")
{
    ExchangeFixture fixture(2, 0);
    fixture.advance(Core::Duration(30000));
    REQUIRE(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
}

TEST_CASE("The successor downloads the chunks that only a slow first downloader holds back")
{
    // The link of one instance drops to a few percent of its rate. Its agent sends heartbeats, but its chunks reach no other replica for seconds. Every engine
    // needs every chunk, so the whole fleet waits for the new version, and callers are refused after its deadline.
    ExchangeFixture fixture(6, 0);
    constexpr std::uint32_t slowReplica = 5;
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        if (!fixture.rankedChunks(slowReplica, 0).contains(chunk)) {
            fixture.m_holdings[fixture.m_replicas[1].m_wire].push_back(chunk);
            fixture.m_holdings[fixture.m_replicas[2].m_wire].push_back(chunk);
        }
    }
    fixture.advance(Core::Duration(5000));
    const std::set<Weights::ChunkIndex> downloadedChunks = fixture.downloadedChunks();
    std::size_t takeoverCount = 0;
    for (const Weights::ChunkIndex chunk : fixture.rankedChunks(slowReplica, 0)) {
        const bool isNext =
            fixture.rankedChunks(0, 1).contains(chunk) || fixture.rankedChunks(0, 2).contains(chunk) || fixture.rankedChunks(0, 3).contains(chunk);
        CHECK(downloadedChunks.contains(chunk) == isNext);
        takeoverCount += isNext ? 1 : 0;
    }
    CHECK(takeoverCount > 0);
}

TEST_CASE("A replica that joins when its neighbours hold all chunks downloads nothing from the origin")
{
    // An instance is replaced after the burst and starts without chunks. Its neighbours hold all of them; downloading them again would use the origin's link
    // needlessly.
    ExchangeFixture fixture(4, 0);
    std::vector<std::uint32_t> allChunks;
    for (std::uint32_t chunk = 0; chunk < Chunks; ++chunk) {
        allChunks.push_back(chunk);
    }
    for (std::uint32_t number = 1; number < 4; ++number) {
        fixture.m_holdings[fixture.m_replicas[number].m_wire] = allChunks;
    }
    fixture.advance(Core::Duration(1000));
    REQUIRE(fixture.downloadedChunks().empty());
    REQUIRE_FALSE(fixture.m_requests.empty());
}

TEST_CASE("Within the origin budget a replica downloads the chunks for which it is ranked second, and never more than the budget")
{
    ExchangeFixture fixture(4, 0, 2);
    fixture.advance(Core::Duration(5000));
    std::set<Weights::ChunkIndex> allowed = fixture.rankedChunks(0, 0);
    const std::set<Weights::ChunkIndex> secondRanked = fixture.rankedChunks(0, 1);
    allowed.insert(secondRanked.begin(), secondRanked.end());
    REQUIRE(fixture.downloadedChunks() == allowed);
}

TEST_CASE("A peer that sent a corrupt chunk gets no more requests, and its chunks are fetched elsewhere")
{
    // A peer's memory or link damages chunks. Repeated requests to it would delay the burst.
    ExchangeFixture fixture(2, 0);
    const Core::Address corruptPeer = fixture.m_replicas[1].m_wire;
    fixture.m_holdings[corruptPeer] = {0, 1, 2};
    const std::vector<Transfer::Action> requests = fixture.advance(Core::Duration(200));
    std::size_t requestsToCorruptPeer = 0;
    for (const Transfer::Action &action : requests) {
        if (action.m_kind == Transfer::ActionKind::RequestFromPeer) {
            ++requestsToCorruptPeer;
            fixture.m_exchange->onRequestFailed(action.m_request, Transfer::Failure::Corrupt, fixture.m_now);
        }
    }
    REQUIRE(requestsToCorruptPeer > 0);
    for (const Transfer::Action &action : fixture.advance(Core::Duration(10000))) {
        REQUIRE(action.m_kind == Transfer::ActionKind::RequestFromOrigin);
    }
    REQUIRE(fixture.downloadedChunks().size() == Chunks);
}

TEST_CASE("A peer that announces chunks and never delivers them is excluded")
{
    // The peer is frozen but still sends heartbeats. Other replicas assume that its chunks are available and do not download them.
    ExchangeFixture fixture(2, 0);
    fixture.m_holdings[fixture.m_replicas[1].m_wire] = {0, 1, 2, 3, 4, 5};
    fixture.advance(Core::Duration(15000));
    REQUIRE(fixture.downloadedChunks().size() == Chunks);
    REQUIRE(fixture.m_exchange->counts().m_stalls >= 3);
}

TEST_CASE("A chunk whose answer is late is requested from a second peer, and the slower of the two requests is cancelled")
{
    ExchangeFixture fixture(3, 0);
    fixture.m_holdings[fixture.m_replicas[1].m_wire] = {0};
    fixture.m_holdings[fixture.m_replicas[2].m_wire] = {0};
    std::vector<Transfer::Action> requests = fixture.advance(Core::Duration(1000));
    std::erase_if(requests, [](const Transfer::Action &action) { return action.m_kind != Transfer::ActionKind::RequestFromPeer; });
    REQUIRE(requests.size() == 2);
    REQUIRE(requests[0].m_peer != requests[1].m_peer);
    fixture.m_exchange->onRequestSucceeded(requests[1].m_request, fixture.m_now);
    const std::vector<Transfer::Action> cancelled = fixture.m_exchange->onChunkHeld(0, fixture.m_now);
    REQUIRE(cancelled.size() == 1);
    REQUIRE(cancelled[0].m_kind == Transfer::ActionKind::Cancel);
    REQUIRE(cancelled[0].m_request == requests[0].m_request);
}

namespace {

/// A replica that joined a transfer is ranked first for some chunks, and another one has announced that it is downloading all chunks.
struct JoinedFixture : ExchangeFixture
{
    JoinedFixture()
        : ExchangeFixture(4, 0)
        , m_downloader(m_replicas[1].m_wire)
    {
        m_fetching[m_downloader] = allChunks();
    }

    static std::vector<std::uint32_t> allChunks()
    {
        std::vector<std::uint32_t> chunks(Chunks);
        std::iota(chunks.begin(), chunks.end(), 0U);
        return chunks;
    }

    Core::Address m_downloader;
};

constexpr Core::Duration SilenceAndTakeover{3200}; ///< Until a silent peer counts as absent.

}

TEST_CASE("A replica does not download the chunks that another replica has announced to be downloading")
{
    // Replicas join during a version and become the first for chunks whose download has begun. The origin's link carries these chunks twice.
    JoinedFixture fixture;
    fixture.advance(Core::Duration(2500));
    CHECK(fixture.downloadedChunks().empty());
    CHECK(fixture.m_exchange->counts().m_deferredDownloads == fixture.rankedChunks(0, 0).size());
    fixture.m_holdings[fixture.m_downloader] = JoinedFixture::allChunks();
    fixture.m_fetching.clear();
    fixture.advance(Core::Duration(500));
    CHECK(fixture.downloadedChunks().empty());
    CHECK(std::any_of(fixture.m_requests.begin(), fixture.m_requests.end(), [](const Transfer::Action &action) {
        return action.m_kind == Transfer::ActionKind::RequestFromPeer;
    }));
}

TEST_CASE("A replica downloads its chunks when an announced download fails")
{
    JoinedFixture fixture;
    fixture.advance(Core::Duration(500));
    fixture.m_fetching.clear();
    fixture.advance(Core::Duration(100));
    CHECK(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
}

TEST_CASE("A replica downloads its chunks when the replica that announced them dies")
{
    JoinedFixture fixture;
    fixture.advance(Core::Duration(500));
    fixture.m_dead.insert(fixture.m_downloader);
    fixture.advance(Core::Duration(1000));
    CHECK(fixture.rankedChunks(0, 0).size() <= fixture.downloadedChunks().size());
}

TEST_CASE("A replica downloads its chunks when the replica that announced them freezes")
{
    JoinedFixture fixture;
    fixture.advance(Core::Duration(100));
    fixture.m_silent.insert(fixture.m_downloader);
    fixture.advance(SilenceAndTakeover);
    CHECK(fixture.rankedChunks(0, 0).size() <= fixture.downloadedChunks().size());
}

TEST_CASE("Downloads that are announced again and again delay those of other replicas only once")
{
    JoinedFixture fixture;
    for (int round = 0; round < 4; ++round) {
        fixture.m_fetching[fixture.m_downloader] = JoinedFixture::allChunks();
        fixture.advance(Core::Duration(980));
        fixture.m_fetching.clear();
        fixture.advance(Step);
    }
    CHECK(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
}

TEST_CASE("A replica downloads a chunk that a slow replica has announced and holds back")
{
    // The first downloader's link has a few percent of its rate. The whole fleet waits for its chunks.
    ExchangeFixture fixture(6, 0);
    const std::set<Weights::ChunkIndex> own = fixture.rankedChunks(0, 0);
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        if (own.contains(chunk)) {
            fixture.m_fetching[fixture.m_replicas[1].m_wire].push_back(chunk);
        } else {
            fixture.m_holdings[fixture.m_replicas[2].m_wire].push_back(chunk);
            fixture.m_holdings[fixture.m_replicas[3].m_wire].push_back(chunk);
        }
    }
    fixture.advance(Core::Duration(600));
    CHECK(fixture.downloadedChunks().empty());
    fixture.advance(Core::Duration(600));
    CHECK(fixture.downloadedChunks() == own);
}

TEST_CASE("A replica waits for the answers of the replicas ranked after it before it downloads")
{
    // Of replicas that join together, those answer each other first that know nothing of downloads in progress.
    ExchangeFixture fixture(4, 0);
    fixture.m_silent.insert(fixture.m_replicas[3].m_wire);
    fixture.advance(Core::Duration(100));
    CHECK(fixture.downloadedChunks().empty());
    fixture.advance(Core::Duration(100));
    CHECK(fixture.downloadedChunks() == fixture.rankedChunks(0, 0));
}

TEST_CASE("A replica does not import the chunks that another replica of its region is importing")
{
    // The link between two regions carries a chunk twice if the list of replicas changes while the first copy crosses it.
    ExchangeFixture fixture(4, 0);
    fixture.m_replicas[2] = makeReplica(2, "han");
    fixture.m_replicas[3] = makeReplica(3, "han");
    fixture.restartExchange();
    fixture.m_mode = Transfer::TransferMode::PeersOnly;
    fixture.m_holdings[fixture.m_replicas[2].m_wire] = JoinedFixture::allChunks();
    fixture.m_holdings[fixture.m_replicas[3].m_wire] = JoinedFixture::allChunks();
    fixture.m_fetching[fixture.m_replicas[1].m_wire] = JoinedFixture::allChunks();
    fixture.advance(Core::Duration(600));
    CHECK(fixture.m_requests.empty());
    fixture.m_fetching.clear();
    fixture.advance(Core::Duration(600));
    CHECK_FALSE(fixture.m_requests.empty());
}

TEST_CASE("A replica announces its downloads from the origin and its requests to other regions")
{
    ExchangeFixture fixture(4, 0);
    fixture.m_replicas[2] = makeReplica(2, "han");
    fixture.m_replicas[3] = makeReplica(3, "han");
    fixture.restartExchange();
    fixture.m_holdings[fixture.m_replicas[1].m_wire] = {0, 1, 2, 3};
    fixture.m_holdings[fixture.m_replicas[2].m_wire] = {4, 5, 6, 7, 8, 9, 10, 11};
    fixture.advance(Core::Duration(400));
    std::set<std::uint32_t> expected;
    for (const Transfer::Action &action : fixture.m_requests) {
        if (action.m_kind == Transfer::ActionKind::RequestFromOrigin || action.m_forRegion) {
            expected.insert(action.m_chunk);
        }
    }
    const std::vector<std::uint32_t> fetched = fixture.m_exchange->fetchedChunks();
    CHECK(std::set<std::uint32_t>(fetched.begin(), fetched.end()) == expected);
    CHECK_FALSE(fetched.empty());
}
