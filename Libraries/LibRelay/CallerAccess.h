/// @file What the configuration allows a request, as decided from its head.
#pragma once

#include "LibFleet/FleetState.h"
#include "LibRelay/Dialect.h"

namespace Relay {

/// Returns the account whose key the request carries; null if there is none.
const Fleet::ClientAccount *accountOf(const Fleet::ConfigurationIndex &configuration, const RequestFacts &facts);

/// Returns whether a request may use the route.
bool mayUseRoute(const Fleet::ConfigurationIndex &configuration, const Fleet::Route &route, const RequestFacts &facts);

/// Returns the time limit of a request: that of its route, or that of its caller if it is shorter.
Core::Duration requestTimeout(const Fleet::Route &route, const RequestFacts &facts);

}
