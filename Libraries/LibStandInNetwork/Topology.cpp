/// @file Implementation of the topology.

#include "LibStandInNetwork/Topology.h"

#include <set>

namespace StandIn {

namespace {

Core::Clock::duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

std::optional<LinkId> addLimited(double bytesPerSecond, LinkShaper &shaper, Core::Instant now)
{
    if (bytesPerSecond <= 0) {
        return std::nullopt;
    }
    return shaper.addLink(bytesPerSecond, now);
}

LinkOverride rateOf(const GatewaySettings &settings, const std::string &host)
{
    for (const LinkOverride &candidate : settings.m_overrides) {
        if (candidate.m_host == host) {
            return candidate;
        }
    }
    return LinkOverride{host, settings.m_instanceBytesPerSecond, settings.m_instanceBytesPerSecond};
}

}

Topology::Topology(const GatewaySettings &settings, LinkShaper &shaper, Core::Instant now)
    : m_sameRegion(fromMilliseconds(settings.m_sameRegionLatencyMs))
    , m_crossRegion(fromMilliseconds(settings.m_crossRegionLatencyMs))
{
    std::set<std::string> regions;
    for (const HostLocation &location : settings.m_hosts) {
        const LinkOverride rate = rateOf(settings, location.m_host);
        m_hosts[location.m_host] = Host{location, addLimited(rate.m_upBytesPerSecond, shaper, now), addLimited(rate.m_downBytesPerSecond, shaper, now)};
        if (!location.m_region.empty()) {
            regions.insert(location.m_region);
        }
    }
    for (const LinkOverride &rate : settings.m_overrides) {
        if (!m_hosts.contains(rate.m_host)) {
            const HostLocation location{rate.m_host, "", ""};
            m_hosts[rate.m_host] = Host{location, addLimited(rate.m_upBytesPerSecond, shaper, now), addLimited(rate.m_downBytesPerSecond, shaper, now)};
        }
    }
    if (settings.m_regionPairBytesPerSecond <= 0) {
        return;
    }
    for (const std::string &from : regions) {
        for (const std::string &to : regions) {
            if (from != to) {
                m_regionPairs[{from, to}] = shaper.addLink(settings.m_regionPairBytesPerSecond, now);
            }
        }
    }
}

const Topology::Host *Topology::find(const std::string &host) const
{
    const std::map<std::string, Host>::const_iterator found = m_hosts.find(host);
    return found == m_hosts.end() ? nullptr : &found->second;
}

std::vector<LinkId> Topology::path(const std::string &from, const std::string &to) const
{
    std::vector<LinkId> links;
    if (from == to) {
        return links;
    }
    const Host *source = find(from);
    const Host *target = find(to);
    if (source && source->m_up) {
        links.push_back(*source->m_up);
    }
    if (source && target) {
        const std::map<std::pair<std::string, std::string>, LinkId>::const_iterator pair =
            m_regionPairs.find({source->m_location.m_region, target->m_location.m_region});
        if (pair != m_regionPairs.end()) {
            links.push_back(pair->second);
        }
    }
    if (target && target->m_down) {
        links.push_back(*target->m_down);
    }
    return links;
}

Core::Clock::duration Topology::latency(const std::string &from, const std::string &to) const
{
    const Host *source = find(from);
    const Host *target = find(to);
    if (from == to || !source || !target) {
        return Core::Clock::duration(0);
    }
    return source->m_location.m_region == target->m_location.m_region ? m_sameRegion : m_crossRegion;
}

HostLocation Topology::location(const std::string &host) const
{
    const Host *found = find(host);
    return found ? found->m_location : HostLocation{host, "", ""};
}

bool Topology::matches(const std::string &selector, const std::string &host) const
{
    const HostLocation found = location(host);
    return !selector.empty() && (selector == found.m_host || selector == found.m_region || selector == found.m_failureDomain);
}

}
