/// @file Decides in which failure domains the requests of a route and an account may be served now. The functions depend only on their arguments.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Placement {

/// Region of each failure domain.
using RegionsByDomain = std::map<std::string, std::string>;

/// Regions in which something may be served, nowhere if the list is empty; absent if it may be served everywhere.
using HomeRegions = std::optional<std::vector<std::string>>;

/// Failure domains whose endpoints may serve a request. The default allows all.
struct AllowedPlaces
{
    bool m_hasHomes = false; ///< Only the failure domains in m_homes are allowed.
    std::set<std::string> m_homes; ///< Empty without homes, and if no known failure domain lies in a home region.

    bool operator==(const AllowedPlaces &) const = default;
    auto operator<=>(const AllowedPlaces &) const = default;

    bool allows(const std::string &failureDomain) const
    {
        return !m_hasHomes || m_homes.contains(failureDomain);
    }
};

/**
 * Returns the places that the homes of a route and of an account allow together. A failure domain of unknown region is not in any home: a request with homes is
 * rather refused than served where it may not be.
 */
AllowedPlaces homePlaces(const HomeRegions &route, const HomeRegions &account, const RegionsByDomain &regions);

}
