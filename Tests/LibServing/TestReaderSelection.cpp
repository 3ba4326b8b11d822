/// @file Who reads the log, and who may leave it to others.

#include "LibServing/ReaderSelection.h"

#include <catch2/catch.hpp>

namespace {

Gossip::Member entry(const std::string &id, const std::string &domain)
{
    Gossip::Member member;
    member.m_id = id;
    member.m_failureDomain = domain;
    member.m_isReady = true;
    return member;
}

std::vector<Gossip::Member> fleet(std::size_t inEach)
{
    std::vector<Gossip::Member> members;
    for (std::size_t index = 0; index < inEach; ++index) {
        members.push_back(entry("north-" + std::to_string(index), "north"));
        members.push_back(entry("south-" + std::to_string(index), "south"));
    }
    return members;
}

std::size_t readers(const std::vector<Gossip::Member> &members)
{
    const Serving::ReaderSelectionSettings settings;
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const Gossip::Member &member) { return Serving::isReader(member, members, settings); }));
}

}

TEST_CASE("two entries of each failure domain read, however large it is")
{
    // If every entry read the log, the calls would grow with the fleet: 76 entries made 7,000 in a minute, more than anything else that the place bills.
    CHECK(readers(fleet(1)) == 2);
    CHECK(readers(fleet(19)) == 4);
}

TEST_CASE("an entry that leaves or is not ready passes its duty on")
{
    std::vector<Gossip::Member> members = fleet(10);
    for (Gossip::Member &member : members) {
        if (Serving::isReader(member, members, Serving::ReaderSelectionSettings{})) {
            member.m_isLeaving = true;
            break;
        }
    }
    const std::int64_t serving = std::count_if(members.begin(), members.end(), [&members](const Gossip::Member &member) {
        return !member.m_isLeaving && Serving::isReader(member, members, Serving::ReaderSelectionSettings{});
    });
    CHECK(serving == 4);
}

TEST_CASE("who has not heard from a reader for too long reads itself")
{
    // The readers of a failure domain die together. Nobody would tell the others that an engine leaves, and requests would reach it after it should
    // get none.
    const Serving::ReaderSelectionSettings settings;
    CHECK(Serving::mayRelyOnPeers(false, Core::Duration(900), settings));
    CHECK_FALSE(Serving::mayRelyOnPeers(false, settings.m_maximumListAge, settings));
    CHECK_FALSE(Serving::mayRelyOnPeers(false, std::nullopt, settings));
    CHECK_FALSE(Serving::mayRelyOnPeers(true, Core::Duration(0), settings));
}
