/// @file Settings of the network stand-in: hosts, links and latencies.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <cstdint>
#include <string>
#include <vector>

namespace StandIn {

/// Where a host stands.
struct HostLocation
{
    std::string m_host; ///< IP number.
    std::string m_region;
    std::string m_failureDomain;

    bool operator==(const HostLocation &) const = default;
};

/// A host whose link differs from the common rate.
struct LinkOverride
{
    std::string m_host;
    double m_upBytesPerSecond = 0; ///< 0 is unlimited.
    double m_downBytesPerSecond = 0; ///< 0 is unlimited.

    bool operator==(const LinkOverride &) const = default;
};

struct GatewaySettings
{
    Core::Address m_listen;
    double m_instanceBytesPerSecond = 0; ///< Of each listed host, up and down; 0 is unlimited.
    double m_regionPairBytesPerSecond = 0; ///< Of each ordered pair of different regions; 0 is unlimited.
    std::vector<LinkOverride> m_overrides;
    std::vector<HostLocation> m_hosts;
    double m_sameRegionLatencyMs = 0; ///< One way, between different hosts of a region.
    double m_crossRegionLatencyMs = 0; ///< One way, between regions.
    std::uint64_t m_seed = 1; ///< Of the corrupted bytes.
    std::size_t m_maximumConnections = 8000;

    bool operator==(const GatewaySettings &) const = default;
};

GatewaySettings readGatewaySettings(Settings::Reader &reader);

}
