/// @file Selects the hosts that a process asks for members beside its seeds. Pure functions.
#pragma once

#include "LibFleet/FleetState.h"

#include <string>
#include <vector>

namespace Gossip {

/**
 * Returns the hosts of endpoints beside which an agent may run, each once: those of services with engines, or of all services while no configuration is known.
 *
 * Agents listen on the same port as entries, and the list of endpoints comes from the log. So entries find others through agents that both ask, although all
 * their seeds are gone.
 */
std::vector<std::string> agentHosts(const Fleet::FleetState &state);

}
