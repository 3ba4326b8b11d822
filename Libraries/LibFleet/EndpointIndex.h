/// @file Index of endpoints by the address at which they listen.
#pragma once

#include "LibFleet/FleetState.h"

#include <map>
#include <string>
#include <vector>

namespace Fleet {

/// Finds the endpoints that a report refers to. Used by one thread.
class EndpointIndex
{
public:
    /// Rebuilds the index after endpoints were added, removed or changed.
    void rebuild(const std::map<std::string, KnownEndpoint> &endpoints);

    /// Returns the ids of the endpoints at the address. There is more than one while the entry of an earlier incarnation still exists.
    const std::vector<std::string> &idsAt(const Core::Address &address) const;

private:
    std::map<Core::Address, std::vector<std::string>> m_ids; ///< By address; no list is empty.
};

}
