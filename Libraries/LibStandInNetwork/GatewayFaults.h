/// @file Fault switches of the network stand-in.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <string>
#include <vector>

namespace StandIn {

/// The two ends of a link with a fault. Each names a host, a region or a failure domain.
struct LinkSelector
{
    std::string m_from;
    std::string m_to;

    bool operator==(const LinkSelector &) const = default;
};

/// Fault switches of the gateway.
struct GatewayFaults
{
    std::vector<LinkSelector> m_cut; ///< In both directions, new connections are refused and open ones are reset.
    std::vector<LinkSelector> m_silent; ///< Bytes from m_from to m_to are discarded permanently on connections that are open when this is set.
    std::vector<std::string> m_freeze; ///< Bytes from and to these hosts, and new connections, wait until the freeze ends.
    double m_corruptPercent = 0; ///< Percentage of reads (at most 16 KiB each) in which one byte is changed.

    bool operator==(const GatewayFaults &) const = default;
};

/// Returns the switches with the change in the JSON object applied. Fails with InvalidInput for unknown switches and wrong types.
Core::Result<GatewayFaults> changeGatewayFaults(GatewayFaults faults, const Poco::JSON::Object &object);

/// Returns the switches as JSON.
std::string showGatewayFaults(const GatewayFaults &faults);

}
