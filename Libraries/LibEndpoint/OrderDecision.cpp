/// @file Implementation of the decision about orders.

#include "LibEndpoint/OrderDecision.h"

#include <algorithm>

namespace Endpoint {

namespace {

const EngineModel *findModel(const EngineStatus &engine, const std::string &contentDigest)
{
    for (const EngineModel &model : engine.m_models) {
        if (model.m_contentDigest == contentDigest) {
            return &model;
        }
    }
    return nullptr;
}

/// The planned weights whose manifests are verified here, in the plan's order.
std::vector<KnownWeights> plannedAndKnown(const OrderDecisionInput &situation)
{
    std::vector<KnownWeights> result;
    for (const std::string &manifest : situation.m_plannedManifests) {
        for (const KnownWeights &known : situation.m_knownWeights) {
            if (known.m_manifestDigest == manifest) {
                result.push_back(known);
            }
        }
    }
    return result;
}

bool isPlanned(const OrderDecisionInput &situation, const std::string &contentDigest)
{
    for (const KnownWeights &known : plannedAndKnown(situation)) {
        if (known.m_contentDigest == contentDigest) {
            return true;
        }
    }
    return false;
}

/// Planned weights whose manifest is not known here may be those that the engine holds, for example after a restart of the agent.
bool everyPlannedManifestIsKnown(const OrderDecisionInput &situation)
{
    return plannedAndKnown(situation).size() >= situation.m_plannedManifests.size();
}

bool plannedVersionServes(const OrderDecisionInput &situation)
{
    for (const KnownWeights &known : plannedAndKnown(situation)) {
        const EngineModel *model = findModel(situation.m_engine, known.m_contentDigest);
        if (model && model->m_state == ModelState::Serving) {
            return true;
        }
    }
    return situation.m_plannedManifests.empty();
}

bool hasModelIn(const EngineStatus &engine, ModelState state)
{
    return std::any_of(engine.m_models.begin(), engine.m_models.end(), [state](const EngineModel &model) { return model.m_state == state; });
}

Order unloadOrder(const OrderDecisionInput &situation, const std::string &contentDigest)
{
    Order order{OrderKind::Unload, "", contentDigest, situation.m_planOffset};
    for (const KnownWeights &known : situation.m_knownWeights) {
        if (known.m_contentDigest == contentDigest) {
            order.m_manifestDigest = known.m_manifestDigest;
        }
    }
    return order;
}

bool waitsAfterFailure(const OrderDecisionInput &situation, const std::string &contentDigest, Core::Instant now)
{
    const std::map<std::string, Core::Instant>::const_iterator it = situation.m_notBefore.find(contentDigest);
    return it != situation.m_notBefore.end() && now < it->second;
}

std::optional<Order> unloadDistrusted(const OrderDecisionInput &situation, Core::Instant now)
{
    for (const EngineModel &model : situation.m_engine.m_models) {
        const bool isSuspect = situation.m_mismatched.contains(model.m_contentDigest) && model.m_state == ModelState::Serving;
        if (isSuspect && !waitsAfterFailure(situation, model.m_contentDigest, now)) {
            return unloadOrder(situation, model.m_contentDigest);
        }
    }
    return std::nullopt;
}

/// The first planned weights that are whole here, absent from the engine and not waiting after a failure.
std::optional<KnownWeights> nextToLoad(const OrderDecisionInput &situation, Core::Instant now)
{
    for (const KnownWeights &known : plannedAndKnown(situation)) {
        const bool mayBeOrdered = known.m_isComplete && !waitsAfterFailure(situation, known.m_contentDigest, now);
        if (mayBeOrdered && !findModel(situation.m_engine, known.m_contentDigest)) {
            return known;
        }
    }
    return std::nullopt;
}

/// The oldest weights that the plan leaves out, to make room.
std::optional<Order> makeRoom(const OrderDecisionInput &situation, Core::Instant now)
{
    // A model that drains gives its slot back by itself.
    if (!everyPlannedManifestIsKnown(situation) || hasModelIn(situation.m_engine, ModelState::Draining)) {
        return std::nullopt;
    }
    const EngineModel *victim = nullptr;
    for (const EngineModel &model : situation.m_engine.m_models) {
        const bool spare = !isPlanned(situation, model.m_contentDigest) && !waitsAfterFailure(situation, model.m_contentDigest, now);
        if (spare && (!victim || model.m_fence < victim->m_fence)) {
            victim = &model;
        }
    }
    return victim ? std::optional<Order>(unloadOrder(situation, victim->m_contentDigest)) : std::nullopt;
}

std::optional<Order> unloadRetired(const OrderDecisionInput &situation, Core::Instant now)
{
    for (const EngineModel &model : situation.m_engine.m_models) {
        const RetirementTimes::const_iterator it = situation.m_retirementTimes.find(model.m_contentDigest);
        const bool retired = it != situation.m_retirementTimes.end() && now - it->second >= situation.m_retirementGrace;
        if (retired && !waitsAfterFailure(situation, model.m_contentDigest, now)) {
            return unloadOrder(situation, model.m_contentDigest);
        }
    }
    return std::nullopt;
}

}

std::vector<Control::Deployment> deploymentsOf(const Control::Plan &plan, const std::string &instance)
{
    std::vector<Control::Deployment> result;
    for (const Control::Deployment &deployment : plan.m_deployments) {
        for (const Control::PlannedReplica &replica : deployment.m_replicas) {
            if (replica.m_instance == instance) {
                result.push_back(deployment);
                break;
            }
        }
    }
    return result;
}

RetirementTimes retirementTimes(const OrderDecisionInput &situation, Core::Instant now)
{
    RetirementTimes result;
    const bool planKnown = situation.m_planOffset != 0 && situation.m_engine.m_reachable;
    if (!planKnown || !everyPlannedManifestIsKnown(situation) || !plannedVersionServes(situation)) {
        return result;
    }
    for (const EngineModel &model : situation.m_engine.m_models) {
        if (isPlanned(situation, model.m_contentDigest) || model.m_state != ModelState::Serving) {
            continue;
        }
        const RetirementTimes::const_iterator known = situation.m_retirementTimes.find(model.m_contentDigest);
        result[model.m_contentDigest] = known == situation.m_retirementTimes.end() ? now : known->second;
    }
    return result;
}

std::optional<Order> decideOrder(const OrderDecisionInput &situation, Core::Instant now)
{
    if (situation.m_planOffset == 0 || !situation.m_engine.m_reachable || hasModelIn(situation.m_engine, ModelState::Loading)) {
        return std::nullopt;
    }
    if (const std::optional<Order> unload = unloadDistrusted(situation, now)) {
        return unload;
    }
    if (const std::optional<KnownWeights> next = nextToLoad(situation, now)) {
        if (situation.m_engine.m_models.size() < situation.m_slots) {
            return Order{OrderKind::Load, next->m_manifestDigest, next->m_contentDigest, situation.m_planOffset};
        }
        if (const std::optional<Order> room = makeRoom(situation, now)) {
            return room;
        }
    }
    return unloadRetired(situation, now);
}

std::vector<Protocol::Attestation> attestationsOf(const EngineStatus &engine,
                                                  const std::vector<KnownWeights> &known,
                                                  const std::set<std::string> &withdrawn,
                                                  const std::map<std::string, Control::Offset> &loadedUnder)
{
    std::vector<Protocol::Attestation> result;
    if (!engine.m_reachable) {
        return result;
    }
    for (const KnownWeights &weights : known) {
        const EngineModel *model = findModel(engine, weights.m_contentDigest);
        if (!model || model->m_state != ModelState::Serving || withdrawn.contains(weights.m_contentDigest)) {
            continue;
        }
        const std::map<std::string, Control::Offset>::const_iterator ordered = loadedUnder.find(weights.m_contentDigest);
        const Control::Offset fence = ordered == loadedUnder.end() ? model->m_fence : ordered->second;
        result.push_back(Protocol::Attestation{weights.m_manifestDigest, fence});
    }
    return result;
}

}
