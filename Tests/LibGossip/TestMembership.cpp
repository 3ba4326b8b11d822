/// @file Who is alive, as heartbeats and hearsay tell.

#include "LibGossip/Membership.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);

Gossip::Member member(const std::string &id, std::uint32_t incarnation, std::uint64_t beat)
{
    Gossip::Member made;
    made.m_id = id;
    made.m_incarnation = incarnation;
    made.m_beat = beat;
    made.m_isReady = true;
    return made;
}

}

TEST_CASE("a member whose count stands still dies, whoever repeats it")
{
    // A process that froze is named by others for a while. If hearsay kept it alive, callers would be sent to it for as long as anybody talks of it.
    Gossip::Membership table("self");
    table.heard(member("a", 1, 5), true, Start);
    table.heard(member("a", 1, 5), false, Start + Core::Duration(3000));
    CHECK(table.alive(Start + Core::Duration(3900)).size() == 1);
    CHECK(table.alive(Start + Core::Duration(4100)).empty());
    table.heard(member("a", 1, 6), false, Start + Core::Duration(5000));
    CHECK(table.alive(Start + Core::Duration(5100)).size() == 1);
}

TEST_CASE("hearsay of an earlier incarnation does not replace the one that spoke")
{
    Gossip::Membership table("self");
    table.heard(member("a", 1, 900), false, Start);
    table.heard(member("a", 2, 1), true, Start + Core::Duration(100));
    table.heard(member("a", 1, 901), false, Start + Core::Duration(200));
    REQUIRE(table.alive(Start + Core::Duration(200)).size() == 1);
    CHECK(table.alive(Start + Core::Duration(200))[0].m_incarnation == 2);
}

TEST_CASE("leaving sticks to an incarnation")
{
    Gossip::Membership table("self");
    Gossip::Member leaving = member("a", 1, 5);
    leaving.m_isLeaving = true;
    table.heard(leaving, true, Start);
    table.heard(member("a", 1, 6), false, Start);
    CHECK(table.alive(Start)[0].m_isLeaving);
    table.heard(member("a", 2, 1), true, Start);
    CHECK_FALSE(table.alive(Start)[0].m_isLeaving);
}

TEST_CASE("a process does not list itself, and forgets the dead")
{
    Gossip::Membership table("self");
    CHECK_FALSE(table.heard(member("self", 1, 1), false, Start));
    table.heard(member("a", 1, 1), true, Start);
    table.forget(Start + Core::Duration(30000));
    CHECK(table.heard(member("a", 1, 1), false, Start + Core::Duration(30000)));
}

TEST_CASE("a sample names live members once")
{
    Gossip::Membership table("self");
    for (int index = 0; index < 20; ++index) {
        table.heard(member("m" + std::to_string(index), 1, 1), true, Start);
    }
    Core::Random random(3);
    const std::vector<Gossip::Member> sample = table.sample(6, Start, random);
    std::set<std::string> names;
    for (const Gossip::Member &named : sample) {
        names.insert(named.m_id);
    }
    CHECK(names.size() == 6);
}
