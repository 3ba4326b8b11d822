/// @file Implementation of the decision where requests may be served.

#include "LibPlacement/AllowedPlaces.h"

#include <algorithm>

namespace Placement {

namespace {

bool includes(const HomeRegions &homes, const std::string &region)
{
    return !homes || std::find(homes->begin(), homes->end(), region) != homes->end();
}

}

AllowedPlaces homePlaces(const HomeRegions &route, const HomeRegions &account, const RegionsByDomain &regions)
{
    AllowedPlaces places;
    places.m_hasHomes = route || account;
    if (!places.m_hasHomes) {
        return places;
    }
    for (const std::pair<const std::string, std::string> &domain : regions) {
        if (includes(route, domain.second) && includes(account, domain.second)) {
            places.m_homes.insert(domain.first);
        }
    }
    return places;
}

}
