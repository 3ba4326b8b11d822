/// @file Implementation of the endpoint index.

#include "LibFleet/EndpointIndex.h"

namespace Fleet {

void EndpointIndex::rebuild(const std::map<std::string, KnownEndpoint> &endpoints)
{
    m_ids.clear();
    for (const std::pair<const std::string, KnownEndpoint> &entry : endpoints) {
        m_ids[entry.second.m_endpoint.m_address].push_back(entry.first);
    }
}

const std::vector<std::string> &EndpointIndex::idsAt(const Core::Address &address) const
{
    static const std::vector<std::string> none;
    const std::map<Core::Address, std::vector<std::string>>::const_iterator found = m_ids.find(address);
    return found == m_ids.end() ? none : found->second;
}

}
