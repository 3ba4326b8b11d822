/// @file Which entries callers are sent to.

#include "LibServing/Directory.h"

#include <catch2/catch.hpp>

namespace {

Gossip::Member entry(std::uint16_t port, const std::string &region)
{
    Gossip::Member made;
    made.m_id = "entry-" + std::to_string(port);
    made.m_role = Gossip::Role::Entry;
    made.m_region = region;
    made.m_failureDomain = region + "-a";
    made.m_callers = Core::Address{"127.0.0.1", port};
    made.m_isReady = true;
    return made;
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

TEST_CASE("callers are sent to near entries if there are enough of them")
{
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north"), entry(3, "north"), entry(4, "east")};
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, {})) == std::vector<std::uint16_t>{2, 3, 5});
}

TEST_CASE("with few near entries others are named too")
{
    // A region with two entries would lose half of its callers with one, and all with both.
    const std::vector<Gossip::Member> others{entry(1, "south"), entry(2, "north"), entry(3, "south")};
    CHECK(ports(Serving::chooseEntries(others, entry(5, "north"), North, {})) == std::vector<std::uint16_t>{2, 5, 1, 3});
}

TEST_CASE("entries that leave, or know no configuration, are not named")
{
    std::vector<Gossip::Member> others{entry(1, "north"), entry(2, "north"), entry(3, "north")};
    others[0].m_isLeaving = true;
    others[1].m_isReady = false;
    others[2].m_role = Gossip::Role::Agent;
    CHECK(Serving::chooseEntries(others, others[0], North, {}).empty());
}
