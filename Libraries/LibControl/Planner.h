/// @file Which instances of a service are to hold which version: a pure function of accepted templates, members and the plan before.
#pragma once

#include "LibControl/ControlState.h"

#include <span>

namespace Control {

/**
 * Plans a service.
 *
 * The same inputs give the same plan on every entry. Replicas of the plan before stay where they are as long as their
 * instance is there and their failure domain allowed, so that weights move only where they must. New replicas go to the
 * failure domain that has fewest, there to an instance that holds the version for another account already, else to the
 * least used, and among equals by rendezvous weight. Accounts that want the same digest share replicas. Leaving
 * instances get none. An account that wants more than there are instances gets all of them. Plain services have no
 * weights, and so an empty plan.
 */
Plan planService(const std::string &service, const ControlState &state, std::span<const Protocol::Member> members);

/// Whether the wanted plan differs from the one in force in anything that agents act upon.
bool isPlanOutOfDate(const ControlState &state, const Plan &wanted);

/// Every service that has a template or a plan, sorted.
std::vector<std::string> plannedServices(const ControlState &state);

}
