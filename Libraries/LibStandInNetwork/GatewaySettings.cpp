/// @file Reads the settings of the network stand-in.

#include "LibStandInNetwork/GatewaySettings.h"

namespace StandIn {

namespace {

constexpr double MaximumBytesPerSecond = 1e12;
constexpr double MaximumLatencyMs = 10000;
constexpr std::size_t MaximumHosts = 16384;
constexpr std::int64_t MaximumConnectionsLimit = 60000;

}

GatewaySettings readGatewaySettings(Settings::Reader &reader)
{
    GatewaySettings settings;
    settings.m_listen = reader.address("listen");
    settings.m_instanceBytesPerSecond = reader.number("instance_link_bytes_per_second", 0, MaximumBytesPerSecond, 0);
    settings.m_regionPairBytesPerSecond = reader.number("region_pair_bytes_per_second", 0, MaximumBytesPerSecond, 0);
    reader.list("overrides", MaximumHosts, [&settings](Settings::Reader &item) {
        settings.m_overrides.push_back(
            LinkOverride{item.text("host"), item.number("up", 0, MaximumBytesPerSecond, 0), item.number("down", 0, MaximumBytesPerSecond, 0)});
    });
    reader.list("hosts", MaximumHosts, [&settings](Settings::Reader &item) {
        settings.m_hosts.push_back(HostLocation{item.text("host"), item.text("region", ""), item.text("failure_domain", "")});
    });
    reader.section("latency_ms", [&settings](Settings::Reader &latency) {
        settings.m_sameRegionLatencyMs = latency.number("same_region", 0, MaximumLatencyMs, 0);
        settings.m_crossRegionLatencyMs = latency.number("cross_region", 0, MaximumLatencyMs, 0);
    });
    settings.m_seed = static_cast<std::uint64_t>(reader.integer("seed", 0, INT64_MAX, 1));
    settings.m_maximumConnections = static_cast<std::size_t>(reader.integer("maximum_connections", 1, MaximumConnectionsLimit, 8000));
    return settings;
}

}
