/// @file Implementation of the choice of entries.

#include "LibServing/Directory.h"

#include <algorithm>

namespace Serving {

namespace {

/// 0 for the caller's failure domain, 1 for its region, 2 for elsewhere.
int distance(const Gossip::Member &entry, const CallerLocation &place)
{
    if (entry.m_failureDomain == place.m_failureDomain) {
        return 0;
    }
    return entry.m_region == place.m_region ? 1 : 2;
}

}

std::vector<Core::Address>
chooseEntries(const std::vector<Gossip::Member> &others, const Gossip::Member &self, const CallerLocation &place, const DirectorySettings &settings)
{
    std::vector<Gossip::Member> usable = others;
    usable.push_back(self);
    std::erase_if(usable, [](const Gossip::Member &member) {
        return member.m_role != Gossip::Role::Entry || !member.m_isReady || member.m_isLeaving || member.m_callers.isEmpty();
    });
    std::stable_sort(usable.begin(), usable.end(), [&place](const Gossip::Member &left, const Gossip::Member &right) {
        return distance(left, place) < distance(right, place);
    });
    std::vector<Core::Address> addresses;
    int reached = 0;
    for (const Gossip::Member &entry : usable) {
        const bool isFarther = distance(entry, place) > reached;
        const bool isEnough = addresses.size() >= settings.m_minimumNear;
        if (addresses.size() >= settings.m_maximumAddresses || (isFarther && isEnough)) {
            break;
        }
        reached = distance(entry, place);
        addresses.push_back(entry.m_callers);
    }
    return addresses;
}

}
