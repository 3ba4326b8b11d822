/// @file Tests the selection of entries for a caller.

#include "LibServing/Directory.h"

#include <catch2/catch.hpp>

namespace {

Gossip::Member entry(std::uint16_t port, const std::string &region)
{
    Gossip::Member result;
    result.m_id = "entry-" + std::to_string(port);
    result.m_role = Gossip::Role::Entry;
    result.m_region = region;
    result.m_failureDomain = region + "-a";
    result.m_callers = Core::Address{"127.0.0.1", port};
    result.m_isReady = true;
    return result;
}

std::vector<std::uint16_t> ports(const std::vector<Core::Address> &addresses)
{
    std::vector<std::uint16_t> found;
    for (const Core::Address &address : addresses) {
        found.push_back(address.m_port);
    }
    return found;
}

using Regions = std::vector<std::string>;

const Serving::CallerLocation North{"north", "north-a"};
const std::string Host = "a";

/// Returns routes of one host with the given homes.
std::vector<Fleet::Route> routesWithHomes(const std::vector<std::optional<Regions>> &homes)
{
    std::vector<Fleet::Route> routes(homes.size());
    for (std::size_t index = 0; index < homes.size(); ++index) {
        routes[index].m_host = Host;
        if (homes[index]) {
            routes[index].m_homeRegions = *homes[index];
        }
    }
    return routes;
}

}

TEST_CASE("Callers are directed to near entries if there are enough of them")
{
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north"), entry(3, "north"), entry(4, "east")};
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, {}, {})) == std::vector<std::uint16_t>{2, 3, 5});
}

TEST_CASE("With few near entries farther ones are included")
{
    // Otherwise a region with two entries would lose half of its callers if one entry fails, and all of them if both fail.
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north"), entry(3, "south")};
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, {}, {})) == std::vector<std::uint16_t>{2, 5, 1, 3});
}

TEST_CASE("Leaving entries, entries that are not ready and agents are not included")
{
    std::vector<Gossip::Member> others{entry(1, "north"), entry(2, "north"), entry(3, "north")};
    others[0].m_isLeaving = true;
    others[1].m_isReady = false;
    others[2].m_role = Gossip::Role::Agent;
    CHECK(Serving::chooseEntries(others, others[0], North, {}, {}).empty());
}

TEST_CASE("Of the farther entries only those in homes of the host's routes are included, unless there is no other")
{
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north"), entry(3, "east")};
    const Serving::RouteHomes east{{"east"}, {"east"}};
    const Serving::RouteHomes west{{"west"}, {"west"}};
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, east, {})) == std::vector<std::uint16_t>{2, 5, 3});
    CHECK(ports(Serving::chooseEntries({entry(1, "south")}, entry(3, "east"), North, west, {})) == std::vector<std::uint16_t>{1, 3});
}

TEST_CASE("The homes of a host are those that all its routes with homes have in common")
{
    std::vector<Fleet::Route> routes = routesWithHomes({std::nullopt, std::nullopt, std::nullopt});
    CHECK_FALSE(Serving::homesOfHost(routes, Host));
    routes = routesWithHomes({Regions{"north", "east"}, Regions{"east"}, std::nullopt});
    CHECK(Serving::homesOfHost(routes, Host).value().m_common == Regions{"east"});
    CHECK_FALSE(Serving::homesOfHost(routes, "other"));
}

TEST_CASE("Callers of a host whose routes share no home are directed to entries of their own region only")
{
    // Guards against directing callers to every region, as if the host had no homes.
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "east"), entry(3, "west")};
    const std::vector<Fleet::Route> routes = routesWithHomes({Regions{"south"}, Regions{"east"}, std::nullopt});
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, Serving::homesOfHost(routes, Host), {})) == std::vector<std::uint16_t>{5});
}

TEST_CASE("Without an entry in their region, callers of routes that share no home are directed to homes of some route")
{
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "west"), entry(3, "east")};
    const std::vector<Fleet::Route> routes = routesWithHomes({Regions{"south"}, Regions{"east"}});
    const std::optional<Serving::RouteHomes> homes = Serving::homesOfHost(routes, Host);
    CHECK(ports(Serving::chooseEntries(others, entry(5, "west"), North, homes, {})) == std::vector<std::uint16_t>{1, 3});
    CHECK(ports(Serving::chooseEntries({}, entry(5, "west"), North, homes, {})) == std::vector<std::uint16_t>{5});
}

TEST_CASE("Homes of which none can be read are in common with nothing")
{
    // Guards against directing callers of such a route to every region.
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north")};
    const std::vector<Fleet::Route> routes = routesWithHomes({Regions{}});
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, Serving::homesOfHost(routes, Host), {})) == std::vector<std::uint16_t>{2, 5});
}

TEST_CASE("While no configuration is known, callers are directed to entries of their own region only")
{
    // Guards against directing callers of a host with homes to every region from an entry that has just started.
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north")};
    const std::optional<Serving::RouteHomes> homes = Serving::knownHomes(nullptr, Host);
    CHECK(ports(Serving::chooseEntries(others, entry(5, "east"), North, homes, {})) == std::vector<std::uint16_t>{2});
    CHECK(ports(Serving::chooseEntries({}, entry(5, "east"), North, homes, {})) == std::vector<std::uint16_t>{5});
}

TEST_CASE("A caller that names no host is directed by the homes of all routes")
{
    std::vector<Fleet::Route> routes = routesWithHomes({Regions{"south", "east"}, Regions{"south"}});
    routes[1].m_host = "other";
    CHECK(Serving::homesOfHost(routes, "").value().m_common == Regions{"south"});
    CHECK(Serving::homesOfHost(routes, Host).value().m_common == Regions{"south", "east"});
}
