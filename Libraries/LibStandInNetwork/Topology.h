/// @file Links and latency between two hosts.
#pragma once

#include "LibStandInNetwork/GatewaySettings.h"
#include "LibStandInNetwork/LinkShaper.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace StandIn {

/// The hosts of the simulated network and the links between them. Not thread-safe.
class Topology
{
public:
    /// Adds the links of every listed host to @p shaper.
    Topology(const GatewaySettings &settings, LinkShaper &shaper, Core::Instant now);

    /// Returns the links with a limited rate from one host to another, in the order in which bytes pass them. Empty within a host.
    std::vector<LinkId> path(const std::string &from, const std::string &to) const;
    /// Returns the one-way latency; 0 within a host and for hosts that are not listed.
    Core::Clock::duration latency(const std::string &from, const std::string &to) const;
    /// Returns the location of a host; all fields except its name are empty if it is not listed.
    HostLocation location(const std::string &host) const;
    /// Returns true if @p selector names the host, its region or its failure domain.
    bool matches(const std::string &selector, const std::string &host) const;

private:
    struct Host
    {
        HostLocation m_location;
        std::optional<LinkId> m_up; ///< Empty if unlimited.
        std::optional<LinkId> m_down;
    };

    const Host *find(const std::string &host) const;

    std::map<std::string, Host> m_hosts;
    std::map<std::pair<std::string, std::string>, LinkId> m_regionPairs;
    Core::Clock::duration m_sameRegion;
    Core::Clock::duration m_crossRegion;
};

}
