/// @file Tests where the requests of routes and accounts with home regions may be served.

#include "LibPlacement/AllowedPlaces.h"

#include <catch2/catch.hpp>

namespace {

const Placement::HomeRegions Everywhere;

Placement::HomeRegions homes(std::vector<std::string> regions)
{
    return regions;
}

const Placement::RegionsByDomain Regions{{"n-a", "north"}, {"n-b", "north"}, {"s-a", "south"}, {"e-a", "east"}};

}

TEST_CASE("Without homes every place is allowed, also one of unknown region")
{
    const Placement::AllowedPlaces places = Placement::homePlaces(Everywhere, Everywhere, Regions);
    CHECK(places.allows("n-a"));
    CHECK(places.allows("elsewhere"));
    CHECK(places == Placement::AllowedPlaces{});
}

TEST_CASE("The homes of a route and of an account bind together")
{
    CHECK(Placement::homePlaces(homes({"north", "south"}), Everywhere, Regions).m_homes == std::set<std::string>{"n-a", "n-b", "s-a"});
    CHECK(Placement::homePlaces(Everywhere, homes({"east"}), Regions).m_homes == std::set<std::string>{"e-a"});
    CHECK(Placement::homePlaces(homes({"north", "south"}), homes({"south", "east"}), Regions).m_homes == std::set<std::string>{"s-a"});
}

TEST_CASE("Homes that have no region in common, or that name no known region, allow no place")
{
    CHECK(Placement::homePlaces(homes({"north"}), homes({"south"}), Regions).m_homes.empty());
    const Placement::AllowedPlaces unknown = Placement::homePlaces(homes({"atlantis"}), Everywhere, Regions);
    CHECK_FALSE(unknown.allows("n-a"));
    CHECK_FALSE(unknown.allows(""));
    CHECK_FALSE(Placement::homePlaces(homes({"north"}), Everywhere, {}).allows("n-a"));
}

TEST_CASE("Homes of which no region is known to be allowed allow no place")
{
    // Guards against homes that could not be read and therefore restrict nothing.
    const Placement::AllowedPlaces places = Placement::homePlaces(homes({}), Everywhere, Regions);
    CHECK(places.m_hasHomes);
    CHECK_FALSE(places.allows("n-a"));
    CHECK_FALSE(Placement::homePlaces(Everywhere, homes({}), Regions).allows("n-a"));
}
