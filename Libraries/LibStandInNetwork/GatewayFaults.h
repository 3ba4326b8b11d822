/// @file Fault switches of the network stand-in.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

namespace StandIn {

/// Two ends of a fault; each is a host, a region or a failure domain.
struct LinkSelector
{
    std::string m_from;
    std::string m_to;

    bool operator==(const LinkSelector &) const = default;
};

struct GatewayFaults
{
    std::vector<LinkSelector> m_cut; ///< In either direction: connections are refused and open ones reset.
    std::vector<LinkSelector> m_silent; ///< Bytes from m_from to m_to on the connections that were open when it was set vanish for good.
    std::vector<std::string> m_freeze; ///< Bytes from and to these hosts wait; so do new connections.
    double m_corruptPercent = 0; ///< Share of reads (at most 16 KiB) that have a byte changed.

    bool operator==(const GatewayFaults &) const = default;
};

/// The switches after a change; fails with InvalidInput for unknown ones and wrong types.
Core::Result<GatewayFaults> changeGatewayFaults(GatewayFaults faults, const Poco::JSON::Object &object);

std::string showGatewayFaults(const GatewayFaults &faults);

}
