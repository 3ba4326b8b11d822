/// @file How an agent brings its engine to a version, with an engine and an origin that misbehave.

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

/// An engine in memory, which loads whatever lies in its stage.
struct FakeEngine
{
    Staging::EngineStatus m_status;
    std::map<Weights::ChunkIndex, std::string> m_stage;
    std::vector<Staging::LoadOrder> m_orders;
    std::vector<std::map<Weights::ChunkIndex, std::string>> m_loaded; ///< The stage as it was at each order.
    std::size_t m_reads = 0;
    bool m_isAbsent = false; ///< It does not answer.
    bool m_isOriginAway = false; ///< No manifest is to be had.
    std::size_t m_spoilAtRead = 0; ///< Number of the read before which chunk 1 turns bad; 0 for never.

    void fill(std::uint64_t version)
    {
        for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
            m_stage[chunk] = chunkOf(version, chunk);
        }
    }
};

Staging::EngineControl control(Http::EventLoop &loop, FakeEngine &engine)
{
    Staging::EngineControl made;
    made.m_readStatus = [&loop, &engine](Staging::Done<Staging::EngineStatus> done) {
        boost::asio::post(loop, [&engine, done] {
            if (engine.m_isAbsent) {
                done(Core::makeError(Core::ErrorCode::Unavailable, "read report", "engine", "refused"));
            } else {
                done(engine.m_status);
            }
        });
    };
    made.m_listStagedChunks = [&loop, &engine](const std::string &, Staging::Done<std::vector<Weights::ChunkIndex>> done) {
        std::vector<Weights::ChunkIndex> held;
        for (const std::pair<const Weights::ChunkIndex, std::string> &entry : engine.m_stage) {
            held.push_back(entry.first);
        }
        boost::asio::post(loop, [held, done] { done(held); });
    };
    made.m_readStagedChunk = [&loop, &engine](const std::string &, Weights::ChunkIndex chunk, Staging::Done<std::string> done) {
        if (++engine.m_reads == engine.m_spoilAtRead) {
            engine.m_stage[1] = "spoilt";
        }
        boost::asio::post(loop, [&engine, chunk, done] { done(engine.m_stage[chunk]); });
    };
    made.m_stageChunk = [&loop, &engine](const std::string &, Weights::ChunkIndex chunk, const std::string &bytes, Staging::Done<void> done) {
        engine.m_stage[chunk] = bytes;
        boost::asio::post(loop, [done] { done(Core::success()); });
    };
    made.m_load = [&loop, &engine](const Staging::LoadOrder &order, Staging::Done<void> done) {
        engine.m_orders.push_back(order);
        engine.m_loaded.push_back(engine.m_stage);
        ++engine.m_status.m_acceptedOrders;
        engine.m_status.m_weights = {Fleet::LoadedWeights{order.m_model, order.m_version, {}}};
        boost::asio::post(loop, [done] { done(Core::success()); });
    };
    made.m_fetchManifest = [&loop, &engine](const Core::Address &, const std::string &, std::uint64_t version, Staging::Done<Weights::Manifest> done) {
        boost::asio::post(loop, [&engine, version, done] {
            if (engine.m_isOriginAway) {
                done(Core::makeError(Core::ErrorCode::Unavailable, "read manifest", "origin", "refused"));
            } else {
                done(manifestOf(version));
            }
        });
    };
    return made;
}

/// A keeper beside the engine, without other agents and with an origin that nobody serves.
struct KeeperFixture
{
    Http::EventLoop m_loop;
    Telemetry::Metrics m_metrics;
    Telemetry::EventLog m_log{STDOUT_FILENO, "test", m_metrics, Telemetry::EventLogLimits{0, 0, 0}};
    Fleet::FleetState m_beliefs;
    Placement::VersionDeadlines m_versions{Core::Duration(8000)};
    Wire::Node m_node{Wire::NodeSettings{}, m_metrics};
    Transfer::TransferManager m_transfer{transferParts()};
    FakeEngine m_engine;
    Staging::WeightsManager m_keeper{
        Staging::WeightsManagerParts{m_loop, m_beliefs, m_versions, m_transfer, m_metrics, m_log}, settings(), control(m_loop, m_engine)};

    KeeperFixture()
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
        m_beliefs.apply(declarations);
        Gossip::Member self;
        self.m_id = "self";
        m_keeper.setAgents({}, self);
        REQUIRE(m_node.start());
        m_transfer.start();
    }

    ~KeeperFixture()
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
        Staging::WeightsManagerSettings made;
        made.m_service = "drafts";
        made.m_statusInterval = Core::Duration(5);
        made.m_loadSchedule = Staging::LoadScheduleSettings{Core::Duration(0), Core::Duration(0)};
        return made;
    }

    void declare(std::uint64_t version)
    {
        Fleet::Declarations declarations;
        declarations.m_weights = {Fleet::DeclaredWeights{Model, version, 10 + version}};
        m_versions.recordDeclared(Model, version, Core::Duration(0), Core::Clock::now());
        m_beliefs.apply(declarations);
        m_keeper.onFleetStateChanged();
    }

    bool awaitOrders(std::size_t count)
    {
        return runUntil(m_loop, [this, count] { return m_engine.m_orders.size() >= count; });
    }
};

}

TEST_CASE("an engine that crashed is loaded from what its stage still holds")
{
    KeeperFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_keeper.start();
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_orders[0].m_version == 1);
    CHECK(fixture.m_metrics.counter("transfer_bytes_from_origin_total").value() == 0);
}

TEST_CASE("weights are drawn before the engine answers")
{
    // An instance joins, and its engine takes longer to start than the agent. If the agent waited for the engine, its weights would come that much later.
    KeeperFixture fixture;
    fixture.m_engine.m_isAbsent = true;
    fixture.m_keeper.start();
    fixture.m_keeper.onFleetStateChanged();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return !fixture.m_transfer.progress().empty(); }));
    CHECK(fixture.m_transfer.progress().front().m_digest == Weights::manifestDigest(Weights::encodeManifest(manifestOf(1))));
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        fixture.m_transfer.offerChunk(fixture.m_transfer.progress().front().m_digest, chunk, chunkOf(1, chunk));
    }
    fixture.m_engine.m_isAbsent = false;
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_engine.m_loaded[0][0] == chunkOf(1, 0));
}

TEST_CASE("an engine that starts again gets its weights although the origin is away")
{
    // An engine crashes while the origin is down. Every chunk is at its agent; without the manifest of before, the agent could not tell so.
    KeeperFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_keeper.start();
    REQUIRE(fixture.awaitOrders(1));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_keeper.isSettled(); }));
    fixture.m_engine.m_isOriginAway = true;
    fixture.m_engine.m_stage.clear();
    fixture.m_engine.m_status = Staging::EngineStatus{};
    fixture.m_engine.m_status.m_startedMilliseconds = 7;
    REQUIRE(fixture.awaitOrders(2));
    CHECK(fixture.m_engine.m_loaded[1][3] == chunkOf(1, 3));
}

TEST_CASE("a chunk that rots in the stage is staged anew before the order")
{
    // The engine loads its stage unchecked. A chunk that turned bad after it had been staged would be served to callers as part of the model.
    KeeperFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_spoilAtRead = Chunks + 1;
    fixture.m_keeper.start();
    REQUIRE(fixture.awaitOrders(1));
    CHECK(fixture.m_metrics.counter("staging_chunks_spoilt_total").value() == 1);
    for (Weights::ChunkIndex chunk = 0; chunk < Chunks; ++chunk) {
        CHECK(fixture.m_engine.m_loaded[0][chunk] == chunkOf(1, chunk));
    }
}

TEST_CASE("a version whose draw has begun is finished although a newer one is declared")
{
    // The newer version is declared while three of four chunks are here, and then the origin goes away. An agent that had dropped the older version
    // would reach neither before its bound, and requests would begin on weights that two declarations have replaced.
    KeeperFixture fixture;
    fixture.m_engine.fill(2);
    fixture.m_engine.m_stage.erase(3);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.declare(2);
    fixture.m_keeper.start();
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

TEST_CASE("of two versions that are learned of together only the newer one is loaded")
{
    // The log was away while both were declared, and its return tells of both within a few milliseconds. To load one after the other would take every engine
    // away twice, and callers would be refused for want of engines.
    KeeperFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_keeper.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_keeper.isSettled() && fixture.m_engine.m_reads >= Chunks; }));
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

TEST_CASE("an engine that has the version gets no order")
{
    KeeperFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_engine.m_status.m_weights = {Fleet::LoadedWeights{Model, 1, {}}};
    fixture.m_keeper.start();
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_engine.m_reads == Chunks; }));
    runUntil(
        fixture.m_loop, [] { return false; }, std::chrono::milliseconds(50));
    CHECK(fixture.m_engine.m_orders.empty());
}

TEST_CASE("an engine that restarts between two looks is loaded again")
{
    // The engine states no time of its start, and it was back before the agent's next look. It answers nobody until it is given its weights again.
    KeeperFixture fixture;
    fixture.m_engine.fill(1);
    fixture.m_keeper.start();
    REQUIRE(fixture.awaitOrders(1));
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_keeper.isSettled(); }));
    fixture.m_engine.m_status.m_weights.clear();
    CHECK(fixture.awaitOrders(2));
}
