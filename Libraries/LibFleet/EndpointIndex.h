/// @file Endpoints by the address at which they listen.
#pragma once

#include "LibFleet/FleetState.h"

#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// Finds the endpoints that a report is about. Used by one thread.
class EndpointIndex
{
public:
    /// Replaces the index, since endpoints have come, gone or changed.
    void rebuild(const std::map<std::string, KnownEndpoint> &endpoints);

    /// Ids of the endpoints at the address: more than one while the entry of an earlier start still stands.
    const std::vector<std::string> &idsAt(const Core::Address &address) const;

private:
    std::map<Core::Address, std::vector<std::string>> m_ids; ///< By address; no list is empty.
};

}
