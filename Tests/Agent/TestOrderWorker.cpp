/// @file Tests of orders to an engine that does not check fencing numbers, so that only the agent prevents outdated orders.

#include "AgentFixture.h"

#include <catch2/trompeloeil.hpp>

namespace {

using AgentFixture::Version;

class MockOrderHost : public trompeloeil::mock_interface<Endpoint::OrderHost>
{
public:
    IMPLEMENT_MOCK0(newestPlanOffset);
    IMPLEMENT_MOCK1(heldWeights);
    IMPLEMENT_MOCK1(releaseWeights);
    IMPLEMENT_MOCK0(refreshStatus);
};

StandIn::EngineSettings engineWithoutFencing()
{
    StandIn::EngineSettings settings;
    settings.m_checksFencing = false;
    return settings;
}

/// An order worker and an engine, with complete weights and a plan that assigns them to the instance.
struct OrderFixture
{
    Version m_version = AgentFixture::makeVersion("7", 20'000);
    AgentFixture::HostedEndpoint<StandIn::Engine> m_engine{engineWithoutFencing()};
    Telemetry::Metrics m_metrics;
    Endpoint::AgentState m_state;
    MockOrderHost m_host;
    Endpoint::EngineClient m_client{engineSettings(m_engine.m_address), {}};
    Endpoint::WorkerSettings m_settings = workerSettings();
    Endpoint::OrderWorker m_worker{Endpoint::OrderParts{m_settings, &m_client, &m_state, &m_host, &m_metrics}};
    std::unique_ptr<trompeloeil::expectation> m_heldWeightsExpectation;
    std::unique_ptr<trompeloeil::expectation> m_refreshExpectation;

    OrderFixture()
    {
        std::vector<Weights::ChunkBytes> chunks;
        for (Weights::ChunkIndex chunk = 0; chunk < m_version.m_manifest.chunkCount(); ++chunk) {
            const std::uint64_t offset = m_version.m_manifest.chunkOffset(chunk);
            chunks.push_back(std::make_shared<const std::string>(m_version.m_content.substr(offset, m_version.m_manifest.chunkLength(chunk))));
        }
        const std::shared_ptr<const Weights::HeldVersion> weights =
            Weights::assembleVersion(m_version.m_digest, m_version.m_manifest, std::move(chunks)).value();
        m_heldWeightsExpectation = NAMED_ALLOW_CALL(m_host, heldWeights(m_version.m_digest)).RETURN(weights);
        m_refreshExpectation = NAMED_ALLOW_CALL(m_host, refreshStatus()).LR_SIDE_EFFECT(refresh());
        refresh();
        setPlan(5);
    }

    static Endpoint::EngineSettings engineSettings(const Core::Address &address)
    {
        Endpoint::EngineSettings settings;
        settings.m_address = address;
        return settings;
    }

    static Endpoint::WorkerSettings workerSettings()
    {
        Endpoint::WorkerSettings settings;
        settings.m_maximumFenceAge = Core::Duration(200);
        settings.m_orderRetryDelay = Core::Duration(1);
        return settings;
    }

    void refresh()
    {
        const Endpoint::EngineStatus status = m_client.status().value();
        m_state.update([&status](Endpoint::KnownState &state) { state.m_engine = status; });
    }

    void setPlan(Control::Offset offset)
    {
        m_state.update([this, offset](Endpoint::KnownState &state) {
            state.m_planOffset = offset;
            state.m_plannedManifests = {m_version.m_digest};
            state.m_knownWeights = {Endpoint::KnownWeights{m_version.m_digest, m_version.m_manifest.m_contentDigest, true}};
        });
    }

    bool isLoaded() const
    {
        return AgentFixture::request(m_engine.m_address, "GET", "/status")->getArray("models")->size() == 1;
    }
};

}

TEST_CASE("an order that an entry confirms is executed")
{
    OrderFixture fixture;
    ALLOW_CALL(fixture.m_host, newestPlanOffset()).RETURN(Core::Result<Control::Offset>(5));
    REQUIRE(fixture.m_worker.step(Core::Clock::now()));
    REQUIRE(fixture.isLoaded());
    REQUIRE(fixture.m_state.knownState().m_loadPlanOffsets.at(fixture.m_version.m_manifest.m_contentDigest) == 5);
}

TEST_CASE("the order of a paused agent whose plan was replaced does not reach the engine")
{
    // The agent was paused while operators withdrew the version. Its engine accepts any order, so the outdated one would restore the version.
    OrderFixture fixture;
    ALLOW_CALL(fixture.m_host, newestPlanOffset()).RETURN(Core::Result<Control::Offset>(6));
    REQUIRE_FALSE(fixture.m_worker.step(Core::Clock::now()));
    REQUIRE_FALSE(fixture.isLoaded());
    REQUIRE_FALSE(fixture.m_worker.step(Core::Clock::now() + Core::Duration(10'000)));
    REQUIRE_FALSE(fixture.isLoaded());
    fixture.setPlan(6);
    REQUIRE(fixture.m_worker.step(Core::Clock::now()));
    REQUIRE(fixture.isLoaded());
}

TEST_CASE("a restarted agent that cannot reach any entry gives no order")
{
    // No entry is reachable, and the restarted agent's plan may be outdated. Waiting is safe, because the engine keeps serving its weights.
    OrderFixture fixture;
    ALLOW_CALL(fixture.m_host, newestPlanOffset()).RETURN(Core::makeError(Core::ErrorCode::Unavailable, "ask fence", "", "no entry answers"));
    REQUIRE_FALSE(fixture.m_worker.step(Core::Clock::now()));
    REQUIRE_FALSE(fixture.isLoaded());
}

TEST_CASE("an agent that was paused between the confirmation and the order does not send the order")
{
    // The entry confirms that no newer plan exists, but there may be one by the time the process resumes.
    OrderFixture fixture;
    {
        ALLOW_CALL(fixture.m_host, newestPlanOffset())
            .LR_SIDE_EFFECT(std::this_thread::sleep_for(fixture.m_settings.m_maximumFenceAge + Core::Duration(50)))
            .RETURN(Core::Result<Control::Offset>(5));
        REQUIRE_FALSE(fixture.m_worker.step(Core::Clock::now()));
        REQUIRE_FALSE(fixture.isLoaded());
    }
    ALLOW_CALL(fixture.m_host, newestPlanOffset()).RETURN(Core::Result<Control::Offset>(5));
    REQUIRE(fixture.m_worker.step(Core::Clock::now() + Core::Duration(10'000)));
    REQUIRE(fixture.isLoaded());
}

TEST_CASE("a load order is aborted if the process is paused while sending it, and the engine loads nothing")
{
    // The agent is paused in the middle of an order. If it completed the order afterwards, the order could be outdated.
    OrderFixture fixture;
    Endpoint::EngineSettings settings = OrderFixture::engineSettings(fixture.m_engine.m_address);
    settings.m_pauseLimit = Core::Duration(-1);
    const Endpoint::EngineClient client(settings, {});
    const std::shared_ptr<const Weights::HeldVersion> weights = fixture.m_host.heldWeights(fixture.m_version.m_digest);
    const Endpoint::Order order{Endpoint::OrderKind::Load, fixture.m_version.m_digest, fixture.m_version.m_manifest.m_contentDigest, 5};
    REQUIRE(client.load(order, *weights, std::make_shared<Endpoint::AbortHandle>()).error().m_code == Core::ErrorCode::Ambiguous);
    AgentFixture::waitUntil("the engine to discard the load",
                            [&fixture] { return AgentFixture::request(fixture.m_engine.m_address, "GET", "/status")->getArray("models")->size() == 0; });
}
