/// @file Implementation of the selection of entries.

#include "LibServing/Directory.h"

#include <algorithm>

namespace Serving {

namespace {

/// Returns 0 for an entry in the caller's failure domain, 1 for one in its region, and 2 otherwise.
int distance(const Gossip::Member &entry, const CallerLocation &location)
{
    if (entry.m_failureDomain == location.m_failureDomain) {
        return 0;
    }
    return entry.m_region == location.m_region ? 1 : 2;
}

bool contains(const std::vector<std::string> &regions, const std::string &region)
{
    return std::find(regions.begin(), regions.end(), region) != regions.end();
}

constexpr int WorstHomeRank = 2;

/// Returns 0 for an entry that suits every route, 1 for one that suits some of the routes with homes, and WorstHomeRank otherwise.
int homeRank(const Gossip::Member &entry, const CallerLocation &location, const std::optional<RouteHomes> &homes)
{
    if (!homes || distance(entry, location) < 2 || contains(homes->m_common, entry.m_region)) {
        return 0;
    }
    return contains(homes->m_any, entry.m_region) ? 1 : WorstHomeRank;
}

}

std::optional<RouteHomes> homesOfHost(const std::vector<Fleet::Route> &routes, const std::string &host)
{
    std::optional<RouteHomes> homes;
    for (const Fleet::Route &route : routes) {
        const bool isOfHost = host.empty() || route.m_host == host;
        if (!isOfHost || !route.m_homeRegions) {
            continue;
        }
        const std::vector<std::string> &regions = *route.m_homeRegions;
        if (!homes) {
            homes = RouteHomes{regions, {}};
        }
        std::erase_if(homes->m_common, [&regions](const std::string &region) { return !contains(regions, region); });
        homes->m_any.insert(homes->m_any.end(), regions.begin(), regions.end());
    }
    return homes;
}

std::optional<RouteHomes> knownHomes(const Fleet::ConfigurationIndex *configuration, const std::string &host)
{
    return configuration ? homesOfHost(configuration->configuration().m_routes, host) : RouteHomes{};
}

std::vector<Core::Address> chooseEntries(const std::vector<Gossip::Member> &others,
                                         const Gossip::Member &self,
                                         const CallerLocation &location,
                                         const std::optional<RouteHomes> &homes,
                                         const DirectorySettings &settings)
{
    std::vector<Gossip::Member> candidates = others;
    candidates.push_back(self);
    std::erase_if(candidates, [](const Gossip::Member &member) {
        return member.m_role != Gossip::Role::Entry || !member.m_isReady || member.m_isLeaving || member.m_callers.isEmpty();
    });
    const std::function<int(const Gossip::Member &)> rank = [&location, &homes](const Gossip::Member &entry) { return homeRank(entry, location, homes); };
    int lowest = WorstHomeRank;
    for (const Gossip::Member &entry : candidates) {
        lowest = std::min(lowest, rank(entry));
    }
    std::erase_if(candidates, [&rank, lowest](const Gossip::Member &entry) { return rank(entry) > lowest; });
    std::stable_sort(candidates.begin(), candidates.end(), [&location](const Gossip::Member &left, const Gossip::Member &right) {
        return distance(left, location) < distance(right, location);
    });
    std::vector<Core::Address> addresses;
    int currentDistance = 0;
    for (const Gossip::Member &entry : candidates) {
        const bool isFarther = distance(entry, location) > currentDistance;
        const bool isEnough = addresses.size() >= settings.m_minimumNear;
        if (addresses.size() >= settings.m_maximumAddresses || (isFarther && isEnough)) {
            break;
        }
        currentDistance = distance(entry, location);
        addresses.push_back(entry.m_callers);
    }
    return addresses;
}

}
