/// @file Tells the budget for cold endpoints which ones the list of endpoints calls cold.
#pragma once

#include "LibFleet/FleetState.h"
#include "LibPlacement/ColdBudget.h"

#include <map>
#include <string>

namespace Serving {

/// Start times of the incarnations that the list calls cold and that the budget knows, by endpoint id.
using ListedCold = std::map<std::string, std::uint64_t>;

/// Records that an endpoint is cold from now on. Returns false if no known configuration states what it takes, so that it has no limit.
bool recordCold(const Fleet::Endpoint &endpoint, const Fleet::FleetState &state, Placement::ColdBudget &budget, Core::Instant now);

/**
 * Records the endpoints that the list calls cold and that are not in @p before. Returns all that the budget knows.
 *
 * Must be called after changes of the list and of the configuration. Either can become known first, and an endpoint of which the budget is not told gets any
 * number of requests.
 */
ListedCold recordListedCold(const ListedCold &before, const Fleet::FleetState &state, Placement::ColdBudget &budget, Core::Instant now);

}
