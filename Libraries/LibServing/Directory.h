/// @file Selects the entries that a caller should connect to. A pure function.
#pragma once

#include "LibFleet/Configuration.h"
#include "LibGossip/Membership.h"

#include <optional>
#include <string>
#include <vector>

namespace Serving {

struct DirectorySettings
{
    std::size_t m_maximumAddresses = 64; ///< Maximum number of addresses in one answer.
    std::size_t m_minimumNear = 3; ///< With fewer entries near the caller, farther ones are added, so that the caller still has a choice if one fails.
    std::uint32_t m_lifetimeSeconds = 2; ///< Lifetime of an answer. Callers use a dead entry for at most the heartbeat timeout plus this time.

    bool operator==(const DirectorySettings &) const = default;
};

/// Location of a caller; fields that the caller did not state are empty.
struct CallerLocation
{
    std::string m_region;
    std::string m_failureDomain;
    std::string m_host; ///< That the caller wants to send requests to.

    bool operator==(const CallerLocation &) const = default;
};

/// Regions that are homes of the routes that a caller may use. The default has none in common, so only entries of the caller's region suit every route.
struct RouteHomes
{
    std::vector<std::string> m_common; ///< Homes of every route with homes.
    std::vector<std::string> m_any; ///< Homes of at least one route; includes m_common.

    bool operator==(const RouteHomes &) const = default;
};

/// Returns the homes of the host's routes, or of all routes if @p host is empty. Absent if none of these routes has homes, so that every region is allowed.
std::optional<RouteHomes> homesOfHost(const std::vector<Fleet::Route> &routes, const std::string &host);

/// As homesOfHost() for the routes of @p configuration. Without one, any route may have homes.
std::optional<RouteHomes> knownHomes(const Fleet::ConfigurationIndex *configuration, const std::string &host);

/**
 * Returns the caller addresses of entries that are ready and not leaving, nearest first. Farther ones are included only if there are too few near the caller.
 * @p self is one of the candidates.
 *
 * With @p homes, only entries in the caller's region and in homes of all routes are included. If there is none, those in homes of some route are, and if there
 * is none of these either, all others: a request that arrives outside its homes is passed on to an endpoint inside them.
 */
std::vector<Core::Address> chooseEntries(const std::vector<Gossip::Member> &others,
                                         const Gossip::Member &self,
                                         const CallerLocation &location,
                                         const std::optional<RouteHomes> &homes,
                                         const DirectorySettings &settings);

}
