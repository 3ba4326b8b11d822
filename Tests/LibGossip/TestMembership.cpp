/// @file Tests which members count as alive after direct and indirect heartbeats.

#include "LibGossip/Membership.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);

Gossip::Member member(const std::string &id, std::uint32_t incarnation, std::uint64_t heartbeatCount)
{
    Gossip::Member result;
    result.m_id = id;
    result.m_incarnation = incarnation;
    result.m_heartbeatCount = heartbeatCount;
    result.m_isReady = true;
    return result;
}

}

TEST_CASE("A member whose heartbeat count stays the same counts as dead, even if others still report it")
{
    // Others report a frozen process for a while. If such reports kept it alive, callers would be directed to it for as long as any member reports it.
    Gossip::Membership table("self");
    table.merge(member("a", 1, 5), true, Start);
    table.merge(member("a", 1, 5), false, Start + Core::Duration(3000));
    CHECK(table.alive(Start + Core::Duration(3900)).size() == 1);
    CHECK(table.alive(Start + Core::Duration(4100)).empty());
    table.merge(member("a", 1, 6), false, Start + Core::Duration(5000));
    CHECK(table.alive(Start + Core::Duration(5100)).size() == 1);
}

TEST_CASE("An indirect report of an earlier incarnation does not replace one that sent a heartbeat")
{
    Gossip::Membership table("self");
    table.merge(member("a", 1, 900), false, Start);
    table.merge(member("a", 2, 1), true, Start + Core::Duration(100));
    table.merge(member("a", 1, 901), false, Start + Core::Duration(200));
    REQUIRE(table.alive(Start + Core::Duration(200)).size() == 1);
    CHECK(table.alive(Start + Core::Duration(200))[0].m_incarnation == 2);
}

TEST_CASE("A leaving incarnation stays leaving, and a new incarnation does not inherit it")
{
    Gossip::Membership table("self");
    Gossip::Member leaving = member("a", 1, 5);
    leaving.m_isLeaving = true;
    table.merge(leaving, true, Start);
    table.merge(member("a", 1, 6), false, Start);
    CHECK(table.alive(Start)[0].m_isLeaving);
    table.merge(member("a", 2, 1), true, Start);
    CHECK_FALSE(table.alive(Start)[0].m_isLeaving);
}

TEST_CASE("A process does not list itself, and removes dead members")
{
    Gossip::Membership table("self");
    CHECK_FALSE(table.merge(member("self", 1, 1), false, Start));
    table.merge(member("a", 1, 1), true, Start);
    table.removeExpired(Start + Core::Duration(30000));
    CHECK(table.merge(member("a", 1, 1), false, Start + Core::Duration(30000)));
}

TEST_CASE("A sample consists of distinct live members")
{
    Gossip::Membership table("self");
    for (int index = 0; index < 20; ++index) {
        table.merge(member("m" + std::to_string(index), 1, 1), true, Start);
    }
    Core::Random random(3);
    const std::vector<Gossip::Member> sample = table.sample(6, Start, random);
    std::set<std::string> names;
    for (const Gossip::Member &sampled : sample) {
        names.insert(sampled.m_id);
    }
    CHECK(names.size() == 6);
}

TEST_CASE("A digest of the known incarnation keeps a member alive, and a digest of another incarnation does not")
{
    Gossip::Membership table("self");
    table.merge(member("a", 7, 5), true, Start);
    Core::Random random(1);
    CHECK(table.sampleDigests(10, std::nullopt, Start, random) == std::vector<Gossip::HeartbeatDigest>{{7, 5, 0, 0}});
    CHECK(table.mergeDigests({Gossip::HeartbeatDigest{8, 900, 0, 0}}, Start + Core::Duration(3000)) == std::vector<std::uint32_t>{8});
    CHECK(table.countAlive(Start + Core::Duration(4100)) == 0);
    CHECK(table.mergeDigests({Gossip::HeartbeatDigest{7, 6, 0, 0}}, Start + Core::Duration(3000)).empty());
    CHECK(table.countAlive(Start + Core::Duration(4100)) == 1);
    table.merge(member("a", 9, 1), true, Start + Core::Duration(4200));
    CHECK_FALSE(table.contains(7));
    CHECK(table.contains(9));
}

TEST_CASE("A newer revision is merged although a digest has already advanced the heartbeat count")
{
    // An entry becomes ready, and digests of its later heartbeats arrive before its new description. If the description counted as outdated, the entry
    // would be missing from the answers to callers for as long as digests arrive before descriptions.
    Gossip::Membership table("self");
    Gossip::Member starting = member("a", 1, 5);
    starting.m_isReady = false;
    table.merge(starting, true, Start);
    CHECK(table.mergeDigests({Gossip::HeartbeatDigest{1, 9, 1, 30}}, Start) == std::vector<std::uint32_t>{1});
    Gossip::Member ready = member("a", 1, 7);
    ready.m_revision = 1;
    CHECK(table.merge(ready, false, Start));
    CHECK(table.alive(Start)[0].m_isReady);
    CHECK(table.alive(Start)[0].m_heartbeatCount == 9);
    CHECK(table.alive(Start)[0].m_requestsPerSecond == 0);
    CHECK(table.mergeDigests({Gossip::HeartbeatDigest{1, 10, 1, 30}}, Start).empty());
    CHECK(table.alive(Start)[0].m_requestsPerSecond == 30);
}

namespace {

/// An entry of a simulated fleet that sends heartbeats.
struct SimulatedEntry
{
    explicit SimulatedEntry(int number)
        : m_self(member("entry-" + std::to_string(number), static_cast<std::uint32_t>(number + 1), 0))
        , m_table(m_self.m_id)
    {
    }

    Gossip::Member m_self;
    Gossip::Membership m_table;
};

/// Simulates heartbeats among @p count entries for a minute. Returns how often a live entry counted as dead at another, summed over all rounds and entries.
std::size_t countFalseDeaths(int count, std::size_t targets, std::size_t sampledMembers, std::size_t sampledDigests)
{
    constexpr Core::Duration interval{500};
    constexpr int rounds = 120;
    constexpr int warmUpRounds = 40; // Rounds until each entry knows all others.
    std::vector<SimulatedEntry> fleet;
    for (int number = 0; number < count; ++number) {
        fleet.emplace_back(number);
    }
    Core::Random random(11);
    std::size_t deaths = 0;
    for (int round = 0; round < rounds; ++round) {
        const Core::Instant now = Start + interval * round;
        for (SimulatedEntry &sender : fleet) {
            ++sender.m_self.m_heartbeatCount;
            for (std::size_t index = 0; index < targets; ++index) {
                SimulatedEntry &target = fleet[round < 4 ? random.below(3) : random.below(fleet.size())]; // The first three entries are the seeds.
                target.m_table.merge(sender.m_self, true, now);
                for (const Gossip::Member &sampled : sender.m_table.sample(sampledMembers, now, random)) {
                    target.m_table.merge(sampled, false, now);
                }
                const std::vector<std::uint32_t> missing =
                    target.m_table.mergeDigests(sender.m_table.sampleDigests(sampledDigests, Gossip::Role::Entry, now, random), now);
                for (const Gossip::Member &described : sender.m_table.find(missing)) {
                    target.m_table.merge(described, false, now);
                }
            }
        }
        for (const SimulatedEntry &entry : fleet) {
            deaths += round < warmUpRounds ? 0 : fleet.size() - 1 - entry.m_table.countAlive(now);
        }
    }
    return deaths;
}

}

TEST_CASE("In a fleet of 150 entries no live entry counts as dead")
{
    // With only a few members in each heartbeat, entries of a large fleet hear of each other less often than the heartbeat timeout: live entries would
    // disappear from the answers to callers at random, and all callers would be directed to the remaining ones.
    CHECK(countFalseDeaths(150, 3, 6, 0) > 0);
    CHECK(countFalseDeaths(150, 3, 6, 40) == 0);
}
