/// @file Orders to an engine that does not check fencing numbers, so that the agent alone keeps old ones away.

#include "AgentFixture.h"

#include <catch2/trompeloeil.hpp>

namespace {

using Rig::Version;

class FakeHost : public trompeloeil::mock_interface<Endpoint::OrderHost>
{
public:
    IMPLEMENT_MOCK0(newestPlanOffset);
    IMPLEMENT_MOCK1(heldWeights);
    IMPLEMENT_MOCK1(releaseWeights);
    IMPLEMENT_MOCK0(refreshStatus);
};

StandIn::EngineSettings trustingEngine()
{
    StandIn::EngineSettings settings;
    settings.m_checksFencing = false;
    return settings;
}

/// An order duty in front of an engine, with whole weights at hand and a plan that wants them.
struct OrderRig
{
    Version m_version = Rig::makeVersion("7", 20'000);
    Rig::HostedEndpoint<StandIn::Engine> m_engine{trustingEngine()};
    Telemetry::Metrics m_metrics;
    Endpoint::AgentState m_state;
    FakeHost m_host;
    Endpoint::EngineClient m_client{engineSettings(m_engine.m_address), {}};
    Endpoint::WorkerSettings m_settings = dutySettings();
    Endpoint::OrderWorker m_duty{Endpoint::OrderParts{m_settings, &m_client, &m_state, &m_host, &m_metrics}};
    std::unique_ptr<trompeloeil::expectation> m_held;
    std::unique_ptr<trompeloeil::expectation> m_refreshed;

    OrderRig()
    {
        std::vector<Weights::ChunkBytes> chunks;
        for (Weights::ChunkIndex chunk = 0; chunk < m_version.m_manifest.chunkCount(); ++chunk) {
            const std::uint64_t offset = m_version.m_manifest.chunkOffset(chunk);
            chunks.push_back(std::make_shared<const std::string>(m_version.m_content.substr(offset, m_version.m_manifest.chunkLength(chunk))));
        }
        const std::shared_ptr<const Weights::HeldVersion> weights =
            Weights::assembleVersion(m_version.m_digest, m_version.m_manifest, std::move(chunks)).value();
        m_held = NAMED_ALLOW_CALL(m_host, heldWeights(m_version.m_digest)).RETURN(weights);
        m_refreshed = NAMED_ALLOW_CALL(m_host, refreshStatus()).LR_SIDE_EFFECT(refresh());
        refresh();
        setPlan(5);
    }

    static Endpoint::EngineSettings engineSettings(const Core::Address &address)
    {
        Endpoint::EngineSettings settings;
        settings.m_address = address;
        return settings;
    }

    static Endpoint::WorkerSettings dutySettings()
    {
        Endpoint::WorkerSettings settings;
        settings.m_maximumFenceAge = Core::Duration(200);
        settings.m_orderRetryDelay = Core::Duration(1);
        return settings;
    }

    void refresh()
    {
        const Endpoint::EngineStatus status = m_client.status().value();
        m_state.update([&status](Endpoint::KnownState &facts) { facts.m_engine = status; });
    }

    void setPlan(Control::Offset offset)
    {
        m_state.update([this, offset](Endpoint::KnownState &facts) {
            facts.m_planOffset = offset;
            facts.m_plannedManifests = {m_version.m_digest};
            facts.m_knownWeights = {Endpoint::KnownWeights{m_version.m_digest, m_version.m_manifest.m_contentDigest, true}};
        });
    }

    bool isLoaded() const
    {
        return Rig::request(m_engine.m_address, "GET", "/status")->getArray("models")->size() == 1;
    }
};

}

TEST_CASE("an order that an entry confirms is carried out")
{
    OrderRig rig;
    ALLOW_CALL(rig.m_host, newestPlanOffset()).RETURN(Core::Result<Control::Offset>(5));
    REQUIRE(rig.m_duty.step(Core::Clock::now()));
    REQUIRE(rig.isLoaded());
    REQUIRE(rig.m_state.knownState().m_loadPlanOffsets.at(rig.m_version.m_manifest.m_contentDigest) == 5);
}

TEST_CASE("the order of a paused agent whose plan was replaced does not reach the engine")
{
    // The agent stood still while operators withdrew the version. Its engine obeys any order, so the old one would bring the version back.
    OrderRig rig;
    ALLOW_CALL(rig.m_host, newestPlanOffset()).RETURN(Core::Result<Control::Offset>(6));
    REQUIRE_FALSE(rig.m_duty.step(Core::Clock::now()));
    REQUIRE_FALSE(rig.isLoaded());
    REQUIRE_FALSE(rig.m_duty.step(Core::Clock::now() + Core::Duration(10'000)));
    REQUIRE_FALSE(rig.isLoaded());
    rig.setPlan(6);
    REQUIRE(rig.m_duty.step(Core::Clock::now()));
    REQUIRE(rig.isLoaded());
}

TEST_CASE("a restarted agent that can ask no entry gives no order")
{
    // All entries are away, and what the fresh agent knows may be old. Waiting is safe: the engine goes on with what it has.
    OrderRig rig;
    ALLOW_CALL(rig.m_host, newestPlanOffset()).RETURN(Core::makeError(Core::ErrorCode::Unavailable, "ask fence", "", "no entry answers"));
    REQUIRE_FALSE(rig.m_duty.step(Core::Clock::now()));
    REQUIRE_FALSE(rig.isLoaded());
}

TEST_CASE("an agent that is paused between the confirmation and the order gives no order")
{
    // The answer says that no newer plan exists. By the time the process runs again, one may.
    OrderRig rig;
    {
        ALLOW_CALL(rig.m_host, newestPlanOffset())
            .LR_SIDE_EFFECT(std::this_thread::sleep_for(rig.m_settings.m_maximumFenceAge + Core::Duration(50)))
            .RETURN(Core::Result<Control::Offset>(5));
        REQUIRE_FALSE(rig.m_duty.step(Core::Clock::now()));
        REQUIRE_FALSE(rig.isLoaded());
    }
    ALLOW_CALL(rig.m_host, newestPlanOffset()).RETURN(Core::Result<Control::Offset>(5));
    REQUIRE(rig.m_duty.step(Core::Clock::now() + Core::Duration(10'000)));
    REQUIRE(rig.isLoaded());
}

TEST_CASE("a load order that stands still on its way is broken off, and the engine loads nothing")
{
    // The agent is paused in the middle of an order. What it completes afterwards would be an old order.
    OrderRig rig;
    Endpoint::EngineSettings settings = OrderRig::engineSettings(rig.m_engine.m_address);
    settings.m_pauseLimit = Core::Duration(-1);
    const Endpoint::EngineClient client(settings, {});
    const std::shared_ptr<const Weights::HeldVersion> weights = rig.m_host.heldWeights(rig.m_version.m_digest);
    const Endpoint::Order order{Endpoint::OrderKind::Load, rig.m_version.m_digest, rig.m_version.m_manifest.m_contentDigest, 5};
    REQUIRE(client.load(order, *weights, std::make_shared<Endpoint::AbortHandle>()).error().m_code == Core::ErrorCode::Ambiguous);
    Rig::waitUntil("the engine to give up the load",
                   [&rig] { return Rig::request(rig.m_engine.m_address, "GET", "/status")->getArray("models")->size() == 0; });
}
