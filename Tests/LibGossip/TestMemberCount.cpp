/// @file Tests how a process finds out that it knows only few members.

#include "LibGossip/MemberCount.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);

}

TEST_CASE("A newcomer to a large fleet knows that it lacks members until it has learned of them, or for five seconds")
{
    // An agent that has just started ranks the few agents that it knows. If it took them for the fleet, it would download chunks that others download too.
    Gossip::ReportedMemberCount largest;
    largest = Gossip::addReport(largest, 160, Start);
    largest = Gossip::addReport(largest, 12, Start + Core::Duration(100)); // From another newcomer.
    CHECK_FALSE(Gossip::knowsMostMembers(20, largest, Core::Duration(200)));
    CHECK(Gossip::knowsMostMembers(150, largest, Core::Duration(1500)));
    CHECK(Gossip::knowsMostMembers(20, largest, Core::Duration(5001)));
}

TEST_CASE("When a whole fleet starts, nobody takes itself for a newcomer")
{
    // After a loss of power nobody knows many members. If all waited for more, no engine would get its weights meanwhile.
    Gossip::ReportedMemberCount largest;
    CHECK(Gossip::knowsMostMembers(0, largest, Core::Duration(0)));
    largest = Gossip::addReport(largest, 3, Start);
    CHECK(Gossip::knowsMostMembers(3, largest, Core::Duration(100)));
}

TEST_CASE("A count that nobody confirms any more is forgotten")
{
    Gossip::ReportedMemberCount largest = Gossip::addReport({}, 160, Start);
    largest = Gossip::addReport(largest, 40, Start + Core::Duration(1900));
    CHECK(largest.m_count == 160);
    largest = Gossip::addReport(largest, 40, Start + Core::Duration(2100));
    CHECK(largest.m_count == 40);
}

TEST_CASE("Members that start together do not divide limits before they know each other")
{
    // Guards against entries that each use the limit of all because nobody has told them of others yet.
    Gossip::MemberGrowth growth{0, Start};
    CHECK_FALSE(Gossip::isGrowthOver(growth, Start + Core::Duration(900)));
    growth = Gossip::addKnownCount(growth, 3, Start + Core::Duration(100));
    growth = Gossip::addKnownCount(growth, 40, Start + Core::Duration(600));
    growth = Gossip::addKnownCount(growth, 90, Start + Core::Duration(1100));
    CHECK_FALSE(Gossip::isGrowthOver(growth, Start + Core::Duration(2000)));
    growth = Gossip::addKnownCount(growth, 95, Start + Core::Duration(2000));
    CHECK(Gossip::isGrowthOver(growth, Start + Core::Duration(2100)));
}

TEST_CASE("A single join does not take the parts of limits from those who run")
{
    Gossip::MemberGrowth growth{100, Start};
    growth = Gossip::addKnownCount(growth, 101, Start + Core::Duration(5000));
    CHECK(Gossip::isGrowthOver(growth, Start + Core::Duration(5001)));
}
