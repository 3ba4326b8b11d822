/// @file Tests of the decisions about orders and attestations.

#include "LibEndpoint/OrderDecision.h"

#include <catch2/catch.hpp>

namespace {

using Endpoint::EngineModel;
using Endpoint::KnownWeights;
using Endpoint::ModelState;
using Endpoint::Order;
using Endpoint::OrderDecisionInput;
using Endpoint::OrderKind;

const Core::Instant Start{std::chrono::seconds(1000)};
const KnownWeights Old{"manifest-old", "content-old", true};
const KnownWeights New{"manifest-new", "content-new", true};

OrderDecisionInput decisionInput(std::uint32_t slots)
{
    OrderDecisionInput result;
    result.m_planOffset = 7;
    result.m_plannedManifests = {New.m_manifestDigest};
    result.m_engine.m_reachable = true;
    result.m_slots = slots;
    result.m_retirementGrace = Core::Duration(1000);
    return result;
}

EngineModel serving(const KnownWeights &weights, std::uint64_t fence = 1)
{
    return EngineModel{weights.m_contentDigest, ModelState::Serving, fence};
}

}

TEST_CASE("partial weights are never loaded")
{
    // A planned version is still being transferred. An engine that loaded the chunks held so far would generate with partial weights.
    OrderDecisionInput partial = decisionInput(2);
    REQUIRE_FALSE(Endpoint::decideOrder(partial, Start));
    partial.m_knownWeights = {KnownWeights{New.m_manifestDigest, New.m_contentDigest, false}};
    REQUIRE_FALSE(Endpoint::decideOrder(partial, Start));
    partial.m_knownWeights = {New};
    REQUIRE(Endpoint::decideOrder(partial, Start) == Order{OrderKind::Load, New.m_manifestDigest, New.m_contentDigest, 7});
}

TEST_CASE("no order is given without a plan, without a reachable engine or while the engine loads")
{
    OrderDecisionInput ready = decisionInput(2);
    ready.m_knownWeights = {New};
    OrderDecisionInput changed = ready;
    changed.m_planOffset = 0;
    REQUIRE_FALSE(Endpoint::decideOrder(changed, Start));
    changed = ready;
    changed.m_engine.m_reachable = false;
    REQUIRE_FALSE(Endpoint::decideOrder(changed, Start));
    changed = ready;
    changed.m_engine.m_models = {EngineModel{"content-x", ModelState::Loading, 0}};
    REQUIRE_FALSE(Endpoint::decideOrder(changed, Start));
}

TEST_CASE("with a free slot the new version is loaded beside the old one, which is unloaded after the grace period")
{
    OrderDecisionInput now = decisionInput(2);
    now.m_knownWeights = {Old, New};
    now.m_engine.m_models = {serving(Old)};
    REQUIRE(Endpoint::decideOrder(now, Start)->m_kind == OrderKind::Load);
    REQUIRE(Endpoint::retirementTimes(now, Start).empty());

    now.m_engine.m_models.push_back(serving(New));
    now.m_retirementTimes = Endpoint::retirementTimes(now, Start);
    REQUIRE(now.m_retirementTimes == Endpoint::RetirementTimes{{Old.m_contentDigest, Start}});
    REQUIRE_FALSE(Endpoint::decideOrder(now, Start + Core::Duration(999)));
    now.m_retirementTimes = Endpoint::retirementTimes(now, Start + Core::Duration(500));
    REQUIRE(Endpoint::decideOrder(now, Start + Core::Duration(1000)) == Order{OrderKind::Unload, Old.m_manifestDigest, Old.m_contentDigest, 7});
}

TEST_CASE("a version that returns to the plan is not unloaded")
{
    OrderDecisionInput now = decisionInput(2);
    now.m_knownWeights = {Old, New};
    now.m_engine.m_models = {serving(Old), serving(New)};
    now.m_retirementTimes = {{Old.m_contentDigest, Start}};
    now.m_plannedManifests = {New.m_manifestDigest, Old.m_manifestDigest};
    now.m_retirementTimes = Endpoint::retirementTimes(now, Start + Core::Duration(5000));
    REQUIRE_FALSE(Endpoint::decideOrder(now, Start + Core::Duration(5000)));
}

TEST_CASE("an engine with one slot unloads the old version only once the new one is complete here")
{
    OrderDecisionInput now = decisionInput(1);
    now.m_knownWeights = {Old};
    now.m_engine.m_models = {serving(Old)};
    REQUIRE_FALSE(Endpoint::decideOrder(now, Start));
    now.m_knownWeights = {Old, New};
    REQUIRE(Endpoint::decideOrder(now, Start)->m_kind == OrderKind::Unload);
    now.m_engine.m_models.clear();
    REQUIRE(Endpoint::decideOrder(now, Start)->m_kind == OrderKind::Load);
}

TEST_CASE("after a restart of the agent, weights that may be planned stay in the engine")
{
    // The restarted agent does not know yet which manifest the engine's weights belong to. Unloading them would stop the service.
    OrderDecisionInput now = decisionInput(1);
    now.m_engine.m_models = {serving(New)};
    REQUIRE(Endpoint::retirementTimes(now, Start).empty());
    now.m_retirementTimes = Endpoint::retirementTimes(now, Start);
    REQUIRE_FALSE(Endpoint::decideOrder(now, Start + Core::Duration(60000)));
}

TEST_CASE("weights for which the engine reported another version are unloaded and not attested")
{
    OrderDecisionInput now = decisionInput(2);
    now.m_knownWeights = {New};
    now.m_engine.m_models = {serving(New)};
    now.m_mismatched = {New.m_contentDigest};
    REQUIRE(Endpoint::decideOrder(now, Start)->m_kind == OrderKind::Unload);
    REQUIRE(Endpoint::attestationsOf(now.m_engine, now.m_knownWeights, now.m_mismatched, {}).empty());
    now.m_notBefore = {{New.m_contentDigest, Start + Core::Duration(1)}};
    REQUIRE_FALSE(Endpoint::decideOrder(now, Start));
}

TEST_CASE("only weights that were verified here and that the engine reports as serving are attested")
{
    // The engine crashes while it loads, or holds weights from another source. Calls sent there would fail or get another version.
    Endpoint::EngineStatus engine;
    engine.m_reachable = true;
    engine.m_models = {EngineModel{New.m_contentDigest, ModelState::Loading, 0}, EngineModel{"content-foreign", ModelState::Serving, 0}};
    REQUIRE(Endpoint::attestationsOf(engine, {New, Old}, {}, {{New.m_contentDigest, 7}}).empty());
    engine.m_models.front().m_state = ModelState::Serving;
    const std::vector<Protocol::Attestation> expected = {Protocol::Attestation{New.m_manifestDigest, 7}};
    REQUIRE(Endpoint::attestationsOf(engine, {New, Old}, {}, {{New.m_contentDigest, 7}}) == expected);
    engine.m_reachable = false;
    REQUIRE(Endpoint::attestationsOf(engine, {New, Old}, {}, {}).empty());
}

TEST_CASE("deploymentsOf returns only the deployments with a replica on the instance")
{
    Control::Plan plan;
    Control::Deployment mine;
    mine.m_digest = "mine";
    mine.m_replicas = {Control::PlannedReplica{"other", "", "", {}}, Control::PlannedReplica{"me", "", "", {}}};
    Control::Deployment theirs;
    theirs.m_digest = "theirs";
    theirs.m_replicas = {Control::PlannedReplica{"other", "", "", {}}};
    plan.m_deployments = {mine, theirs};
    REQUIRE(Endpoint::deploymentsOf(plan, "me") == std::vector<Control::Deployment>{mine});
}
