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

}

std::vector<std::string> commonHomes(const std::vector<Fleet::Route> &routes, const std::string &host)
{
    std::optional<std::vector<std::string>> common;
    for (const Fleet::Route &route : routes) {
        if (route.m_host != host || !route.m_homeRegions) {
            continue;
        }
        const std::vector<std::string> &homes = *route.m_homeRegions;
        if (!common) {
            common = homes;
            continue;
        }
        std::erase_if(*common, [&homes](const std::string &region) { return std::find(homes.begin(), homes.end(), region) == homes.end(); });
    }
    return common.value_or(std::vector<std::string>());
}

std::vector<Core::Address> chooseEntries(const std::vector<Gossip::Member> &others,
                                         const Gossip::Member &self,
                                         const CallerLocation &location,
                                         const std::vector<std::string> &homes,
                                         const DirectorySettings &settings)
{
    std::vector<Gossip::Member> candidates = others;
    candidates.push_back(self);
    std::erase_if(candidates, [](const Gossip::Member &member) {
        return member.m_role != Gossip::Role::Entry || !member.m_isReady || member.m_isLeaving || member.m_callers.isEmpty();
    });
    const std::function<bool(const Gossip::Member &)> mayHold = [&location, &homes](const Gossip::Member &entry) {
        return homes.empty() || distance(entry, location) < 2 || std::find(homes.begin(), homes.end(), entry.m_region) != homes.end();
    };
    if (std::any_of(candidates.begin(), candidates.end(), mayHold)) {
        std::erase_if(candidates, [&mayHold](const Gossip::Member &entry) { return !mayHold(entry); });
    }
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
