/// @file Planning of which instances of a service hold which version: a pure function of accepted templates, members and the previous plan.
#pragma once

#include "LibControl/ControlState.h"

#include <span>

namespace Control {

/**
 * Returns the plan of a service.
 *
 * The same inputs give the same plan on every entry. Replicas of the previous plan stay where they are as long as their
 * instance is live and their failure domain is allowed, so that weights move only where they must. New replicas go to the
 * failure domain with the fewest replicas; there to an instance that already holds the version for another account,
 * otherwise to the least used one, with ties broken by rendezvous weight. Accounts that request the same digest share
 * replicas. Leaving instances get no replicas. An account that requests more replicas than there are instances gets all
 * instances. Plain services have no weights and therefore an empty plan.
 */
Plan planService(const std::string &service, const ControlState &state, std::span<const Protocol::Member> members);

/// Returns whether the wanted plan differs from the one in force in anything that agents act on.
bool isPlanOutOfDate(const ControlState &state, const Plan &wanted);

/// Returns every service that has a template or a plan, sorted.
std::vector<std::string> plannedServices(const ControlState &state);

}
