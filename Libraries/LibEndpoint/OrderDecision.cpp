/// @file Implementation of the decisions about orders and attestations.

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

/// Returns the planned weights whose manifests are verified here, in the plan's order.
std::vector<KnownWeights> plannedKnownWeights(const OrderDecisionInput &input)
{
    std::vector<KnownWeights> result;
    for (const std::string &manifest : input.m_plannedManifests) {
        for (const KnownWeights &known : input.m_knownWeights) {
            if (known.m_manifestDigest == manifest) {
                result.push_back(known);
            }
        }
    }
    return result;
}

bool isPlanned(const OrderDecisionInput &input, const std::string &contentDigest)
{
    for (const KnownWeights &known : plannedKnownWeights(input)) {
        if (known.m_contentDigest == contentDigest) {
            return true;
        }
    }
    return false;
}

/// If a planned manifest is not known here, for example after a restart of the agent, any weights in the engine may be the planned ones.
bool areAllPlannedManifestsKnown(const OrderDecisionInput &input)
{
    return plannedKnownWeights(input).size() >= input.m_plannedManifests.size();
}

bool isPlannedVersionServing(const OrderDecisionInput &input)
{
    for (const KnownWeights &known : plannedKnownWeights(input)) {
        const EngineModel *model = findModel(input.m_engine, known.m_contentDigest);
        if (model && model->m_state == ModelState::Serving) {
            return true;
        }
    }
    return input.m_plannedManifests.empty();
}

bool hasModelInState(const EngineStatus &engine, ModelState state)
{
    return std::any_of(engine.m_models.begin(), engine.m_models.end(), [state](const EngineModel &model) { return model.m_state == state; });
}

Order unloadOrder(const OrderDecisionInput &input, const std::string &contentDigest)
{
    Order order{OrderKind::Unload, "", contentDigest, input.m_planOffset};
    for (const KnownWeights &known : input.m_knownWeights) {
        if (known.m_contentDigest == contentDigest) {
            order.m_manifestDigest = known.m_manifestDigest;
        }
    }
    return order;
}

bool isBackingOff(const OrderDecisionInput &input, const std::string &contentDigest, Core::Instant now)
{
    const std::map<std::string, Core::Instant>::const_iterator it = input.m_notBefore.find(contentDigest);
    return it != input.m_notBefore.end() && now < it->second;
}

std::optional<Order> unloadMismatched(const OrderDecisionInput &input, Core::Instant now)
{
    for (const EngineModel &model : input.m_engine.m_models) {
        const bool isMismatched = input.m_mismatched.contains(model.m_contentDigest) && model.m_state == ModelState::Serving;
        if (isMismatched && !isBackingOff(input, model.m_contentDigest, now)) {
            return unloadOrder(input, model.m_contentDigest);
        }
    }
    return std::nullopt;
}

/// Returns the first planned weights that are complete here, not in the engine and not backing off after a failure.
std::optional<KnownWeights> nextWeightsToLoad(const OrderDecisionInput &input, Core::Instant now)
{
    for (const KnownWeights &known : plannedKnownWeights(input)) {
        const bool canBeLoaded = known.m_isComplete && !isBackingOff(input, known.m_contentDigest, now);
        if (canBeLoaded && !findModel(input.m_engine, known.m_contentDigest)) {
            return known;
        }
    }
    return std::nullopt;
}

/// Returns an order to unload the oldest weights that are not in the plan, to free a slot.
std::optional<Order> unloadToFreeSlot(const OrderDecisionInput &input, Core::Instant now)
{
    // A draining model frees its slot without an order.
    if (!areAllPlannedManifestsKnown(input) || hasModelInState(input.m_engine, ModelState::Draining)) {
        return std::nullopt;
    }
    const EngineModel *victim = nullptr;
    for (const EngineModel &model : input.m_engine.m_models) {
        const bool isEvictable = !isPlanned(input, model.m_contentDigest) && !isBackingOff(input, model.m_contentDigest, now);
        if (isEvictable && (!victim || model.m_fence < victim->m_fence)) {
            victim = &model;
        }
    }
    return victim ? std::optional<Order>(unloadOrder(input, victim->m_contentDigest)) : std::nullopt;
}

std::optional<Order> unloadRetired(const OrderDecisionInput &input, Core::Instant now)
{
    for (const EngineModel &model : input.m_engine.m_models) {
        const RetirementTimes::const_iterator it = input.m_retirementTimes.find(model.m_contentDigest);
        const bool isRetired = it != input.m_retirementTimes.end() && now - it->second >= input.m_retirementGrace;
        if (isRetired && !isBackingOff(input, model.m_contentDigest, now)) {
            return unloadOrder(input, model.m_contentDigest);
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

RetirementTimes retirementTimes(const OrderDecisionInput &input, Core::Instant now)
{
    RetirementTimes result;
    const bool isStateKnown = input.m_planOffset != 0 && input.m_engine.m_reachable;
    if (!isStateKnown || !areAllPlannedManifestsKnown(input) || !isPlannedVersionServing(input)) {
        return result;
    }
    for (const EngineModel &model : input.m_engine.m_models) {
        if (isPlanned(input, model.m_contentDigest) || model.m_state != ModelState::Serving) {
            continue;
        }
        const RetirementTimes::const_iterator previous = input.m_retirementTimes.find(model.m_contentDigest);
        result[model.m_contentDigest] = previous == input.m_retirementTimes.end() ? now : previous->second;
    }
    return result;
}

std::optional<Order> decideOrder(const OrderDecisionInput &input, Core::Instant now)
{
    if (input.m_planOffset == 0 || !input.m_engine.m_reachable || hasModelInState(input.m_engine, ModelState::Loading)) {
        return std::nullopt;
    }
    if (const std::optional<Order> unload = unloadMismatched(input, now)) {
        return unload;
    }
    if (const std::optional<KnownWeights> next = nextWeightsToLoad(input, now)) {
        if (input.m_engine.m_models.size() < input.m_slots) {
            return Order{OrderKind::Load, next->m_manifestDigest, next->m_contentDigest, input.m_planOffset};
        }
        if (const std::optional<Order> unload = unloadToFreeSlot(input, now)) {
            return unload;
        }
    }
    return unloadRetired(input, now);
}

std::vector<Protocol::Attestation> attestationsOf(const EngineStatus &engine,
                                                  const std::vector<KnownWeights> &known,
                                                  const std::set<std::string> &withdrawn,
                                                  const std::map<std::string, Control::Offset> &loadPlanOffsets)
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
        const std::map<std::string, Control::Offset>::const_iterator loaded = loadPlanOffsets.find(weights.m_contentDigest);
        const Control::Offset fence = loaded == loadPlanOffsets.end() ? model->m_fence : loaded->second;
        result.push_back(Protocol::Attestation{weights.m_manifestDigest, fence});
    }
    return result;
}

}
