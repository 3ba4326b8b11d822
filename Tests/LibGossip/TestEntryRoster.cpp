/// @file Tests how long entries count that are not heard of any more.

#include "LibGossip/EntryRoster.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);

Gossip::Member entry(const std::string &id, bool isLeaving = false)
{
    Gossip::Member member;
    member.m_id = id;
    member.m_isLeaving = isLeaving;
    return member;
}

}

TEST_CASE("A silent entry keeps its part of limits for minutes")
{
    // Guards against entries that are cut off from each other and each use the parts of those that they do not see.
    Gossip::EntryRoster roster;
    Gossip::updateRoster(roster, {entry("one"), entry("two")}, {}, Start);
    Gossip::updateRoster(roster, {entry("one")}, {}, Start + Core::Duration(599'000));
    CHECK(roster.size() == 2);
    Gossip::updateRoster(roster, {entry("one")}, {}, Start + Core::Duration(601'000));
    CHECK(roster.size() == 1);
}

TEST_CASE("An entry that has left counts until what it has spent does not count any more")
{
    Gossip::EntryRoster roster;
    Gossip::updateRoster(roster, {entry("one", true)}, {}, Start);
    Gossip::updateRoster(roster, {}, {}, Start + Core::Duration(14'000));
    CHECK(roster.size() == 1);
    Gossip::updateRoster(roster, {}, {}, Start + Core::Duration(16'000));
    CHECK(roster.empty());
}

TEST_CASE("An entry that has left and starts again counts as before")
{
    Gossip::EntryRoster roster;
    Gossip::updateRoster(roster, {entry("one", true)}, {}, Start);
    Gossip::updateRoster(roster, {entry("one")}, {}, Start + Core::Duration(10'000));
    Gossip::updateRoster(roster, {}, {}, Start + Core::Duration(60'000));
    CHECK(roster.size() == 1);
}
