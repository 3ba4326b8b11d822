/// @file Decides the next order to the local engine, and what may be attested of it. Pure.
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

/// One order to the engine.
struct Order
{
    OrderKind m_kind = OrderKind::Load;
    std::string m_manifestDigest; ///< Empty for an unload of weights whose manifest is not known here.
    std::string m_contentDigest;
    Control::Offset m_fence = 0; ///< Offset of the plan that it follows from.

    bool operator==(const Order &) const = default;
};

/// Since when each set of weights in the engine could be done without; by content digest.
using RetirementTimes = std::map<std::string, Core::Instant>;

/// Everything that an order follows from.
struct OrderDecisionInput
{
    Control::Offset m_planOffset = 0; ///< 0 while no plan is known; nothing is ordered then.
    std::vector<std::string> m_plannedManifests; ///< What this instance is to hold.
    std::vector<KnownWeights> m_knownWeights; ///< Only whole ones can be ordered.
    EngineStatus m_engine;
    std::uint32_t m_slots = 1; ///< Sets of weights that the engine holds at once.
    std::set<std::string> m_mismatched; ///< Content digests under which the engine answered with another version.
    std::map<std::string, Core::Instant> m_notBefore; ///< Earliest next order about a content digest.
    RetirementTimes m_retirementTimes; ///< From retirementTimes().
    Core::Duration m_retirementGrace{0}; ///< How long weights that can be done without stay loaded.
};

/// The deployments of a plan that name an instance as a replica.
std::vector<Control::Deployment> deploymentsOf(const Control::Plan &plan, const std::string &instance);

/// Carries the retirement times forward: weights are done without once the plan leaves them out and what it names serves here.
RetirementTimes retirementTimes(const OrderDecisionInput &situation, Core::Instant now);

/**
 * The next order, if any.
 *
 * An engine with a free slot loads the new version beside the old one; an engine without one swaps. Weights that the plan
 * leaves out are unloaded after the grace period, and only once a planned version serves here.
 */
std::optional<Order> decideOrder(const OrderDecisionInput &situation, Core::Instant now);

/// What the engine serves now out of weights that were verified here; @p withdrawn content digests are left out.
std::vector<Protocol::Attestation> attestationsOf(const EngineStatus &engine,
                                                  const std::vector<KnownWeights> &known,
                                                  const std::set<std::string> &withdrawn,
                                                  const std::map<std::string, Control::Offset> &loadedUnder);

}
