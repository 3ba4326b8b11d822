/// @file Implementation of the selection of hosts for discovery.

#include "LibGossip/Discovery.h"

#include <set>

namespace Gossip {

std::vector<std::string> agentHosts(const Fleet::FleetState &state)
{
    std::set<std::string> hosts;
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : state.endpoints()) {
        const Fleet::Endpoint &endpoint = entry.second.m_endpoint;
        const Fleet::Service *service = state.configuration() ? state.configuration()->service(endpoint.m_service) : nullptr;
        const bool mayHaveAgent = !state.configuration() || (service && service->m_engine.m_slots > 0);
        if (mayHaveAgent) {
            hosts.insert(endpoint.m_address.m_host);
        }
    }
    return std::vector<std::string>(hosts.begin(), hosts.end());
}

}
