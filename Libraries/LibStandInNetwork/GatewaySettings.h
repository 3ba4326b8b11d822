/// @file Settings of the network stand-in: hosts, links and latencies.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace StandIn {

/// Location of a host.
struct HostLocation
{
    std::string m_host; ///< IP address.
    std::string m_region;
    std::string m_failureDomain;

    bool operator==(const HostLocation &) const = default;
};

/// Link rates of a host that differ from the common rate.
struct LinkOverride
{
    std::string m_host;
    double m_upBytesPerSecond = 0; ///< 0 is unlimited.
    double m_downBytesPerSecond = 0; ///< 0 is unlimited.

    bool operator==(const LinkOverride &) const = default;
};

/// Settings of the gateway.
struct GatewaySettings
{
    Core::Address m_listen;
    double m_instanceBytesPerSecond = 0; ///< Rate of each listed host, separately up and down; 0 is unlimited.
    double m_regionPairBytesPerSecond = 0; ///< Rate of each ordered pair of different regions; 0 is unlimited.
    std::vector<LinkOverride> m_overrides;
    std::vector<HostLocation> m_hosts;
    double m_sameRegionLatencyMs = 0; ///< One-way latency between different hosts of a region.
    double m_crossRegionLatencyMs = 0; ///< One-way latency between regions.
    std::uint64_t m_seed = 1; ///< Random seed for the choice of corrupted bytes.
    std::size_t m_maximumConnections = 8000; ///< Further connections are closed when they are accepted.

    bool operator==(const GatewaySettings &) const = default;
};

GatewaySettings readGatewaySettings(Settings::Reader &reader);

}
