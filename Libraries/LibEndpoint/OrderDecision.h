/// @file Decides the next order to the local engine and what the agent attests about it. Pure.
#pragma once

#include "LibControl/Model.h"
#include "LibCore/Clock.h"
#include "LibEndpoint/Engine.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Endpoint {

enum class OrderKind {
    Load,
    Unload,
};

/// An order to the engine.
struct Order
{
    OrderKind m_kind = OrderKind::Load;
    std::string m_manifestDigest; ///< Empty when unloading weights whose manifest is not known here.
    std::string m_contentDigest;
    Control::Offset m_fence = 0; ///< Fencing number: offset of the plan that led to this order.

    bool operator==(const Order &) const = default;
};

/// The time since which each set of weights in the engine has not been needed, by content digest.
using RetirementTimes = std::map<std::string, Core::Instant>;

/// All input of the decision about the next order.
struct OrderDecisionInput
{
    Control::Offset m_planOffset = 0; ///< 0 while no plan is known; no orders are given then.
    std::vector<std::string> m_plannedManifests; ///< Manifest digests that the plan assigns to this instance.
    std::vector<KnownWeights> m_knownWeights; ///< Weights with a verified manifest. Only complete ones can be loaded.
    EngineStatus m_engine;
    std::uint32_t m_slots = 1; ///< Number of sets of weights that the engine can hold at a time.
    std::set<std::string> m_mismatched; ///< Content digests for which the engine reported another version.
    std::map<std::string, Core::Instant> m_notBefore; ///< By content digest: earliest time of the next order.
    RetirementTimes m_retirementTimes; ///< Result of the last retirementTimes().
    Core::Duration m_retirementGrace{0}; ///< How long weights that are no longer needed stay loaded.
};

/// Returns the deployments of a plan that have a replica on @p instance.
std::vector<Control::Deployment> deploymentsOf(const Control::Plan &plan, const std::string &instance);

/// Updates the retirement times. Weights are no longer needed once the plan does not contain them and a planned version serves here.
RetirementTimes retirementTimes(const OrderDecisionInput &input, Core::Instant now);

/**
 * Returns the next order, if any.
 *
 * An engine with a free slot loads the new version beside the old one; otherwise the old version is unloaded first. Weights that are not in
 * the plan are unloaded after the grace period, and only once a planned version serves here.
 */
std::optional<Order> decideOrder(const OrderDecisionInput &input, Core::Instant now);

/// Returns the weights that the engine currently serves and that were verified here, except the content digests in @p withdrawn.
std::vector<Protocol::Attestation> attestationsOf(const EngineStatus &engine,
                                                  const std::vector<KnownWeights> &known,
                                                  const std::set<std::string> &withdrawn,
                                                  const std::map<std::string, Control::Offset> &loadPlanOffsets);

}
