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

const Serving::CallerLocation North{"north", "north-a"};

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
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, {"east"}, {})) == std::vector<std::uint16_t>{2, 5, 3});
    CHECK(ports(Serving::chooseEntries({entry(1, "south")}, entry(3, "east"), North, {"west"}, {})) == std::vector<std::uint16_t>{1, 3});
}

TEST_CASE("The homes of a host are those that all its routes with homes have in common")
{
    std::vector<Fleet::Route> routes(3);
    for (Fleet::Route &route : routes) {
        route.m_host = "a";
    }
    CHECK(Serving::commonHomes(routes, "a").empty());
    routes[0].m_homeRegions = std::vector<std::string>{"north", "east"};
    routes[1].m_homeRegions = std::vector<std::string>{"east"};
    CHECK(Serving::commonHomes(routes, "a") == std::vector<std::string>{"east"});
    CHECK(Serving::commonHomes(routes, "b").empty());
}
