/// @file Tests of how an agent brings its engine to a version, with failing engines and origins.

#include "../Support/LoopbackPeer.h"
#include "LibStaging/WeightsManager.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

using TestSupport::runUntil;

namespace {

constexpr std::uint32_t ChunkBytes = 1024;
constexpr Weights::ChunkIndex Chunks = 4;
constexpr const char *Model = "draft";

std::string chunkOf(std::uint64_t version, Weights::ChunkIndex chunk)
{
    return std::string(ChunkBytes, static_cast<char>('a' + version * Chunks + chunk));
}

Weights::Manifest manifestOf(std::uint64_t version)
{
    std::string content;
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        content += chunkOf(version, chunk);
    }
    return Weights::buildManifest(Model, std::to_string(version), content, ChunkBytes).value();
}

/// An in-memory engine that loads whatever is in its staging area.
struct FakeEngine
{
    Staging::EngineStatus m_status;
    std::map<Weights::ChunkIndex, std::string> m_stage;
    std::vector<Staging::LoadOrder> m_orders;
    std::vector<std::map<Weights::ChunkIndex, std::string>> m_loaded; ///< Content of the staging area at each accepted order.
    std::vector<std::uint64_t> m_loadedVersions; ///< Versions of the accepted orders.
    std::size_t m_reads = 0;
    bool m_isUnreachable = false; ///< The engine does not respond.
    Core::ErrorCode m_statusError = Core::ErrorCode::Unavailable; ///< With which reading its status fails while it is unreachable.
    bool m_isOriginUnreachable = false; ///< Reading a manifest fails.
    bool m_isOriginSilent = false; ///< Reading a manifest never ends.
    std::size_t m_manifestReads = 0;
    std::set<std::uint64_t> m_corruptManifests; ///< Versions whose manifest the origin sends with one wrong digest, once each.
    std::size_t m_readsToFail = 0; ///< Number of the next reads of staged chunks that get no response.
    Core::Duration m_readDelay{0}; ///< Until the response to a read of a staged chunk.
    std::size_t m_corruptAtRead = 0; ///< Number of the read before which chunk 1 is corrupted; 0 for never.
    std::size_t m_ordersToHold = 0; ///< Number of the next orders that get no response and are processed by processHeldOrders().
    std::vector<Staging::LoadOrder> m_heldOrders;
    std::optional<Weights::ChunkIndex> m_chunkToHold; ///< The next write of this chunk gets no response and takes effect after the following write of it.
    std::optional<std::string> m_heldChunk; ///< Content of the held write.

    void write(Weights::ChunkIndex chunk, const std::string &bytes)
    {
        m_stage[chunk] = bytes;
        if (m_chunkToHold == chunk) {
            m_stage[chunk] = *m_heldChunk;
            m_chunkToHold.reset();
        }
    }

    /// Loads the content of the staging area, if the engine has accepted as many orders as the order expects.
    bool accept(const Staging::LoadOrder &order)
    {
        if (order.m_expectedAcceptedOrders != m_status.m_acceptedOrders) {
            return false;
        }
        m_loaded.push_back(m_stage);
        m_loadedVersions.push_back(order.m_version);
        ++m_status.m_acceptedOrders;
        m_status.m_weights = {Fleet::LoadedWeights{order.m_model, order.m_version, {}}};
        return true;
    }

    void processHeldOrders()
    {
        const std::vector<Staging::LoadOrder> held = std::exchange(m_heldOrders, {});
        for (const Staging::LoadOrder &order : held) {
            accept(order);
        }
    }

    /// Returns whether every load took the chunks of the ordered version.
    bool hasOnlyLoadedOrderedChunks() const;

    void fill(std::uint64_t version)
    {
        for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
            m_stage[chunk] = chunkOf(version, chunk);
        }
    }

    /// Leaves a complete stage of version 2 and an order for it that was sent by an agent's predecessor and has not been processed.
    void leavePredecessorsOrder()
    {
        fill(2);
        m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
        m_heldOrders = {Staging::LoadOrder{Model, 2, 12, 0}};
        m_ordersToHold = 1;
    }
};

bool FakeEngine::hasOnlyLoadedOrderedChunks() const
{
    for (std::size_t load = 0; load < m_loaded.size(); ++load) {
        for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
            const std::map<Weights::ChunkIndex, std::string>::const_iterator taken = m_loaded[load].find(chunk);
            if (taken == m_loaded[load].end() || taken->second != chunkOf(m_loadedVersions[load], chunk)) {
                return false;
            }
        }
    }
    return true;
}

Staging::EngineControl control(Http::EventLoop &loop, FakeEngine &engine)
{
    Staging::EngineControl result;
    result.m_readStatus = [&loop, &engine](Staging::Done<Staging::EngineStatus> done) {
        boost::asio::post(loop, [&engine, done] {
            if (engine.m_isUnreachable) {
                done(Core::makeError(engine.m_statusError, "read report", "engine", "not connected"));
            } else {
                done(engine.m_status);
            }
        });
    };
    result.m_listStagedChunks = [&loop, &engine](const std::string &, Staging::Done<std::vector<Weights::ChunkIndex>> done) {
        std::vector<Weights::ChunkIndex> held;
        for (const std::pair<const Weights::ChunkIndex, std::string> &entry : engine.m_stage) {
            held.push_back(entry.first);
        }
        boost::asio::post(loop, [held, done] { done(held); });
    };
    result.m_readStagedChunk = [&loop, &engine](const std::string &, Weights::ChunkIndex chunk, Staging::Done<std::string> done) {
        if (++engine.m_reads == engine.m_corruptAtRead) {
            engine.m_stage[1] = "spoilt";
        }
        if (engine.m_readsToFail > 0) {
            --engine.m_readsToFail;
            boost::asio::post(loop, [done] { done(Core::makeError(Core::ErrorCode::Ambiguous, "read staged chunk", "engine", "no response")); });
            return;
        }
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(loop, engine.m_readDelay);
        timer->async_wait([&engine, chunk, done, timer](const boost::system::error_code &) { done(engine.m_stage[chunk]); });
    };
    result.m_stageChunk = [&loop, &engine](const std::string &, Weights::ChunkIndex chunk, const std::string &bytes, Staging::Done<void> done) {
        if (engine.m_chunkToHold == chunk && !engine.m_heldChunk) {
            engine.m_heldChunk = bytes;
            boost::asio::post(loop, [done] { done(Core::makeError(Core::ErrorCode::Ambiguous, "stage chunk", "engine", "no response")); });
            return;
        }
        engine.write(chunk, bytes);
        boost::asio::post(loop, [done] { done(Core::success()); });
    };
    result.m_load = [&loop, &engine](const Staging::LoadOrder &order, Staging::Done<void> done) {
        engine.m_orders.push_back(order);
        if (engine.m_ordersToHold > 0) {
            --engine.m_ordersToHold;
            engine.m_heldOrders.push_back(order);
            boost::asio::post(loop, [done] { done(Core::makeError(Core::ErrorCode::Ambiguous, "order load", "engine", "no response")); });
            return;
        }
        const bool isAccepted = engine.accept(order);
        boost::asio::post(loop, [done, isAccepted] {
            done(isAccepted ? Core::success() : Core::Result<void>(Core::makeError(Core::ErrorCode::Conflict, "order load", "engine", "other orders")));
        });
    };
    result.m_fetchManifest = [&loop, &engine](const Core::Address &, const std::string &, std::uint64_t version, Staging::Done<Weights::Manifest> done) {
        ++engine.m_manifestReads;
        boost::asio::post(loop, [&engine, version, done] {
            if (engine.m_isOriginSilent) {
                return;
            }
            if (engine.m_isOriginUnreachable) {
                done(Core::makeError(Core::ErrorCode::Unavailable, "read manifest", "origin", "refused"));
                return;
            }
            Weights::Manifest manifest = manifestOf(version);
            if (engine.m_corruptManifests.erase(version) > 0) {
                manifest.m_chunkDigests[0][0] ^= 1;
            }
            done(manifest);
        });
    };
    return result;
}

/// A weights manager beside an engine, without other agents and with an unreachable origin.
struct WeightsManagerFixture
{
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Fleet::FleetState m_fleetState;
    Placement::VersionDeadlines m_versions{Core::Duration(8000)};
    Wire::Node m_node{Wire::NodeSettings{}, m_metrics};
    Transfer::TransferManager m_transfer{transferParts()};
    FakeEngine m_engine;
    Staging::WeightsManager m_manager;

    explicit WeightsManagerFixture(const Staging::WeightsManagerSettings &managerSettings = settings())
        : m_manager(Staging::WeightsManagerParts{m_loop, m_fleetState, m_versions, m_transfer, m_metrics, m_log}, managerSettings, control(m_loop, m_engine))
    {
        Fleet::Declarations declarations;
        declarations.m_end = 1;
        declarations.m_configuration = Fleet::Configuration{};
        declarations.m_configuration->m_services.resize(2);
        declarations.m_configuration->m_services[0].m_name = "drafts";
        declarations.m_configuration->m_services[0].m_engine.m_slots = 16;
        declarations.m_configuration->m_services[0].m_engine.m_models = {Model};
        declarations.m_configuration->m_services[1].m_name = "origin";
        declarations.m_configuration->m_services[1].m_origin = Core::Address{"127.0.0.1", 9};
        m_fleetState.apply(declarations);
        Gossip::Member self;
        self.m_id = "self";
        m_manager.setAgents({}, self);
        REQUIRE(m_node.start());
        m_transfer.start();
    }

    ~WeightsManagerFixture()
    {
        m_transfer.stop();
        m_node.stop();
    }

    Transfer::TransferParts transferParts()
    {
        Transfer::TransferParts parts;
        parts.m_self.m_id = "self";
        parts.m_node = &m_node;
        parts.m_metrics = &m_metrics;
        return parts;
    }

    static Staging::WeightsManagerSettings settings()
    {
        Staging::WeightsManagerSettings result;
        result.m_service = "drafts";
        result.m_statusInterval = Core::Duration(5);
        result.m_loadSchedule = Staging::LoadScheduleSettings{Core::Duration(0), Core::Duration(0)};
        result.m_manifestCheckDelay = Core::Duration(100);
        result.m_verificationLifetime = Core::Duration(0);
        return result;
    }

    void declare(std::uint64_t version)
    {
        Fleet::Declarations declarations;
        declarations.m_weights = {Fleet::DeclaredWeights{Model, version, 10 + version}};
        m_versions.recordDeclared(Model, version, Core::Duration(0), Core::Clock::now());
        m_fleetState.apply(declarations);
        m_manager.onFleetStateChanged();
    }

    /// Gives the transfer all chunks of a version, as soon as it downloads that version.
    bool supplyChunks(std::uint64_t version)
    {
        const std::string digest = Weights::manifestDigest(Weights::encodeManifest(manifestOf(version)));
        const bool isWanted = runUntil(m_loop, [this, &digest] {
            const std::vector<Protocol::TransferProgress> progress = m_transfer.progress();
            return std::any_of(progress.begin(), progress.end(), [&digest](const Protocol::TransferProgress &transfer) {
                return transfer.m_digest == digest && transfer.m_chunksTotal == Chunks;
            });
        });
        for (Weights::ChunkIndex chunk = 0; isWanted && chunk < Chunks; ++chunk) {
            m_transfer.offerChunk(digest, chunk, chunkOf(version, chunk));
        }
        return isWanted;
    }

    bool awaitOrders(std::size_t count)
    {
        return runUntil(m_loop, [this, count] { return m_engine.m_orders.size() >= count; });
    }
};

}

TEST_CASE("An engine that restarted is loaded from the chunks still in its staging area")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_orders[0].m_version == 1);
    CHECK(fixture.m_metrics.counter("transfer_bytes_from_origin_total").value() == 0);
}

TEST_CASE("Weights are downloaded before the engine responds")
{
    // An instance joins, and its engine takes longer to start than the agent. Guards against an agent that waits for the engine before it downloads, which
    // would delay the engine's weights.
    WeightsManagerFixture fixture;
    fixture.m_engine.m_isUnreachable = true;
    fixture.m_manager.start();
    fixture.m_manager.onFleetStateChanged();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return !fixture.m_transfer.progress().empty(); }));
    CHECK(fixture.m_transfer.progress().front().m_digest == Weights::manifestDigest(Weights::encodeManifest(manifestOf(1))));
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        fixture.m_transfer.offerChunk(fixture.m_transfer.progress().front().m_digest, chunk, chunkOf(1, chunk));
    }
    fixture.m_engine.m_isUnreachable = false;
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_loaded[0][0] == chunkOf(1, 0));
}

TEST_CASE("An engine that restarts while the origin is unreachable gets its weights")
{
    // An engine crashes while the origin is down. Its agent holds every chunk, but needs the earlier manifest to recognize them.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_manager.isSettled(); }));
    fixture.m_engine.m_isOriginUnreachable = true;
    fixture.m_engine.m_stage.clear();
    fixture.m_engine.m_status = Staging::EngineStatus{};
    fixture.m_engine.m_status.m_startedMilliseconds = 7;
    REQUIRE(fixture.awaitOrders(2));
    CHECK(fixture.m_engine.m_loaded[1][3] == chunkOf(1, 3));
}

TEST_CASE("A chunk that is corrupted in the staging area is staged again before the load order")
{
    // The engine loads its staging area without checking it. A chunk that was corrupted after staging would be served to callers as part of the model.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_corruptAtRead = Chunks + 1;
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_metrics.counter("staging_chunks_spoilt_total").value() == 1);
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        CHECK(fixture.m_engine.m_loaded[0][chunk] == chunkOf(1, chunk));
    }
}

TEST_CASE("A version whose download has begun is finished even if a newer one is declared")
{
    // The newer version is declared when three of four chunks are held, and then the origin becomes unreachable. An agent that abandoned the older version
    // would load neither before its deadline, and requests would start on weights that two declarations have replaced.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(2);
    fixture.m_engine.m_stage.erase(3);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] {
        const std::vector<Protocol::TransferProgress> progress = fixture.m_transfer.progress();
        return progress.size() == 1 && progress.front().m_chunksHeld == Chunks - 1;
    }));
    fixture.declare(3);
    fixture.m_transfer.offerChunk(Weights::manifestDigest(Weights::encodeManifest(manifestOf(2))), 3, chunkOf(2, 3));
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_orders[0].m_version == 2);
    CHECK(fixture.m_engine.m_orders[0].m_fence == 12);
}

TEST_CASE("Of two versions that become known together only the newer one is loaded")
{
    // The log was unreachable while both versions were declared, and afterwards both become known within a few milliseconds. Loading both would make every
    // engine unavailable twice, and callers would be refused for lack of engines.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_manager.isSettled() && fixture.m_engine.m_reads >= Chunks; }));
    fixture.declare(2);
    fixture.declare(3);
    const std::string newest = Weights::manifestDigest(Weights::encodeManifest(manifestOf(3)));
    REQUIRE(runUntil(fixture.m_loop, [&fixture, &newest] {
        const std::vector<Protocol::TransferProgress> progress = fixture.m_transfer.progress();
        return progress.size() == 1 && progress.front().m_digest == newest && progress.front().m_chunksTotal == Chunks;
    }));
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        fixture.m_transfer.offerChunk(newest, chunk, chunkOf(3, chunk));
    }
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_orders[0].m_version == 3);
}

TEST_CASE("An engine that already has the version gets no load order")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_reads == Chunks; }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(50));
    CHECK(fixture.m_engine.m_orders.empty());
}

TEST_CASE("An engine that restarts between two polls is loaded again")
{
    // The engine reports no start time and is running again before the agent's next poll. It serves no requests until its weights are loaded again.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_manager.isSettled(); }));
    fixture.m_engine.m_status.m_weights.clear();
    CHECK(fixture.awaitOrders(2));
}

TEST_CASE("A corrupt manifest is replaced, because its chunks do not arrive")
{
    // No chunk matches the wrong digest. Without a second look at the manifest the engine would never get the version.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_corruptManifests.insert(1);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_manifestReads == 2);
}

TEST_CASE("A download goes on while the manifest is checked")
{
    // The origin is away for longer than the check waits, and does not answer. An agent that waited for the manifest would not notice that its chunks are
    // complete, and its engine would get the version late.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_stage.erase(3);
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return !fixture.m_transfer.progress().empty(); }));
    fixture.m_engine.m_isOriginSilent = true;
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_manifestReads == 2; }));
    fixture.m_transfer.offerChunk(Weights::manifestDigest(Weights::encodeManifest(manifestOf(1))), 3, chunkOf(1, 3));
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_manifestReads == 2);
}

TEST_CASE("Chunks that were read back a moment ago are not read again before the load order")
{
    // After a loss of power the whole fleet has no weights, and each further read delays the first answer.
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_verificationLifetime = Core::Duration(60000);
    WeightsManagerFixture fixture(settings);
    fixture.m_engine.fill(1);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_reads == Chunks);
}

TEST_CASE("An order is not sent on a verification that is too old")
{
    // The process was frozen while its engine drained, and a chunk was damaged meanwhile. The engine would load it.
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_verificationLifetime = Core::Duration(60000);
    settings.m_verificationLimit = Core::Duration(0);
    settings.m_retryDelay = Core::Duration(5);
    WeightsManagerFixture fixture(settings);
    fixture.m_engine.fill(1);
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_reads == Chunks; }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(100));
    CHECK(fixture.m_engine.m_orders.empty());
}

TEST_CASE("An order whose response was lost is carried out once")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_ordersToHold = 1;
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    fixture.m_engine.processHeldOrders();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_manager.isSettled() && !fixture.m_engine.m_loaded.empty(); }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(50));
    CHECK(fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{1});
}

TEST_CASE("An engine that was unreachable is not staged anew while it may accept an order")
{
    // The agent takes an engine that responds again for a new one, although an order to it is still open.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(2);
    fixture.m_engine.m_status.m_startedMilliseconds = 7;
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_engine.m_ordersToHold = 2;
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    const std::size_t reads = fixture.m_engine.m_reads;
    fixture.m_engine.m_isUnreachable = true;
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(50));
    fixture.declare(3);
    fixture.m_engine.m_isUnreachable = false;
    REQUIRE(runUntil(fixture.m_loop, [&fixture, reads] { return fixture.m_engine.m_reads > reads; }));
    REQUIRE(fixture.supplyChunks(3));
    REQUIRE(fixture.awaitOrders(2));
    fixture.m_engine.processHeldOrders();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 3}; }));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

TEST_CASE("A chunk that is damaged while an order is open is replaced by the order's version")
{
    // The agent no longer holds the chunks of the ordered version, because it downloads the next one.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(2);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_engine.m_ordersToHold = 1;
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    fixture.declare(3);
    REQUIRE(fixture.supplyChunks(3));
    fixture.m_engine.m_stage[1] = "damaged";
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_metrics.counter("staging_chunks_spoilt_total").value() > 0; }));
    REQUIRE(fixture.supplyChunks(2));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 3}; }));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

TEST_CASE("An order that is accepted late does not load the chunks of a newer version")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(2);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_engine.m_ordersToHold = 2;
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    fixture.declare(3);
    REQUIRE(fixture.supplyChunks(3));
    REQUIRE(fixture.awaitOrders(2));
    fixture.m_engine.processHeldOrders();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 3}; }));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

TEST_CASE("An order that reaches a later start of its engine does not load the chunks of a newer version")
{
    // Guards against an order that was sent after an unnoticed restart, and is accepted once the new start has accepted as many orders as it expects.
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(2);
    fixture.m_engine.m_status.m_startedMilliseconds = 5;
    fixture.m_engine.m_status.m_acceptedOrders = 1;
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_engine.m_ordersToHold = 1;
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(fixture.awaitOrders(1));
    fixture.m_engine.m_status.m_startedMilliseconds = 6;
    fixture.m_engine.m_status.m_acceptedOrders = 0;
    fixture.m_engine.m_status.m_weights.clear();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2}; }));
    fixture.declare(3);
    REQUIRE(fixture.supplyChunks(3));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(300));
    fixture.m_engine.processHeldOrders();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 2, 3}; }));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

TEST_CASE("A write that takes effect late does not put an older chunk into a newer version")
{
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_verificationLifetime = Core::Duration(60000);
    settings.m_finishAgeLimit = Core::Duration(0);
    settings.m_writeSettleTime = Core::Duration(50);
    WeightsManagerFixture fixture(settings);
    fixture.m_engine.fill(1);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_engine.m_chunkToHold = 0;
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(fixture.supplyChunks(2));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_heldChunk.has_value(); }));
    fixture.declare(3);
    REQUIRE(fixture.supplyChunks(3));
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{3});
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

namespace {

/// Supplies version 3, lets the engine process the predecessor's order late, and checks that each load took the chunks of its version.
void checkPredecessorsOrderIsLoadedFirst(WeightsManagerFixture &fixture)
{
    REQUIRE(fixture.supplyChunks(3));
    runUntil(
        fixture.m_loop, [&fixture] { return !fixture.m_engine.m_orders.empty(); }, std::chrono::milliseconds(100));
    fixture.m_engine.processHeldOrders();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 3}; }));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

}

TEST_CASE("An agent that restarted leaves the staging area to an order of its predecessor")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.leavePredecessorsOrder();
    fixture.declare(3);
    fixture.m_manager.start();
    checkPredecessorsOrderIsLoadedFirst(fixture);
}

namespace {

/// Settings with a short time for orders of a predecessor.
Staging::WeightsManagerSettings strayOrderSettings()
{
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_inheritedOrderTime = Core::Duration(1000);
    return settings;
}

/// Version 2 is staged at an engine that has just restarted. An order for it, sent to the start before, arrives once the engine has accepted another one.
void leaveStrayOrder(FakeEngine &engine)
{
    engine.fill(2);
    engine.m_status.m_startedMilliseconds =
        static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    engine.m_heldOrders = {Staging::LoadOrder{Model, 2, 12, 1}};
}

}

TEST_CASE("An agent that restarted leaves the staging area to an order of its predecessor for an earlier start of the engine")
{
    // Guards against an agent that takes the stage for free because the restarted engine has loaded what is staged.
    WeightsManagerFixture fixture(strayOrderSettings());
    leaveStrayOrder(fixture.m_engine);
    fixture.m_engine.m_status.m_acceptedOrders = 1;
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 2, {}}};
    fixture.declare(3);
    fixture.m_manager.start();
    checkPredecessorsOrderIsLoadedFirst(fixture);
}

TEST_CASE("An agent that restarted leaves the staging area to such an order also after an order of its own")
{
    // Guards against an agent that forgets a predecessor's order once the engine has accepted its own one.
    WeightsManagerFixture fixture(strayOrderSettings());
    leaveStrayOrder(fixture.m_engine);
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2}; }));
    fixture.declare(3);
    REQUIRE(fixture.supplyChunks(3));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(100));
    fixture.m_engine.processHeldOrders();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 2, 3}; }));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

TEST_CASE("An engine that starts together with its agent and holds nothing gets a newer version at once")
{
    // Guards against a fleet that waits for orders which no agent can have sent, after all of it has lost power.
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_inheritedOrderTime = Core::Duration(600'000); // Longer than the test.
    WeightsManagerFixture fixture(settings);
    leaveStrayOrder(fixture.m_engine);
    fixture.m_engine.m_stage.clear();
    fixture.m_engine.m_heldOrders.clear();
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(fixture.supplyChunks(2));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2}; }));
    fixture.declare(3);
    REQUIRE(fixture.supplyChunks(3));
    CHECK(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{2, 3}; }));
}

TEST_CASE("An engine that an agent cannot connect to within the time limit is not taken for one that was down")
{
    // Guards against an agent that restarts beside a frozen engine and stages a newer version under an order of its predecessor.
    WeightsManagerFixture fixture;
    fixture.m_engine.leavePredecessorsOrder();
    fixture.m_engine.m_isUnreachable = true;
    fixture.m_engine.m_statusError = Core::ErrorCode::Timeout;
    fixture.declare(3);
    fixture.m_manager.start();
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(50));
    fixture.m_engine.m_isUnreachable = false;
    checkPredecessorsOrderIsLoadedFirst(fixture);
}

TEST_CASE("A staged chunk that cannot be read does not free the staging area of an order of a predecessor")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.leavePredecessorsOrder();
    fixture.m_engine.m_readsToFail = 1;
    fixture.declare(3);
    fixture.m_manager.start();
    checkPredecessorsOrderIsLoadedFirst(fixture);
}

TEST_CASE("An order of a predecessor that never takes effect does not keep the staging area for good")
{
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_inheritedOrderTime = Core::Duration(50);
    WeightsManagerFixture fixture(settings);
    fixture.m_engine.fill(2);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.declare(3);
    fixture.m_manager.start();
    REQUIRE(fixture.supplyChunks(3));
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_loadedVersions == std::vector<std::uint64_t>{3});
}

TEST_CASE("An agent outlives its engine while a staged version waits for its load time")
{
    Staging::WeightsManagerSettings settings = WeightsManagerFixture::settings();
    settings.m_loadSchedule = Staging::LoadScheduleSettings{Core::Duration(60000), Core::Duration(0)};
    WeightsManagerFixture fixture(settings);
    std::vector<Gossip::Member> others(50);
    for (std::size_t index = 0; index < others.size(); ++index) {
        others[index].m_id = "other-" + std::to_string(index);
    }
    Gossip::Member self;
    self.m_id = "self";
    fixture.m_manager.setAgents(others, self);
    fixture.m_engine.fill(2);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.declare(2);
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_reads == Chunks; }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(50));
    fixture.m_engine.m_isUnreachable = true;
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(100));
    fixture.m_engine.m_isUnreachable = false;
    fixture.m_engine.m_status = Staging::EngineStatus{};
    fixture.m_engine.m_status.m_startedMilliseconds = 7;
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.hasOnlyLoadedOrderedChunks());
}

TEST_CASE("An agent outlives its engine's silence during the verification")
{
    WeightsManagerFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_readDelay = Core::Duration(30);
    fixture.m_manager.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_reads == 2 * Chunks; }));
    fixture.m_engine.m_isUnreachable = true;
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(100));
    CHECK(fixture.m_engine.m_orders.empty());
    fixture.m_engine.m_isUnreachable = false;
    CHECK(fixture.awaitOrders(1));
}
