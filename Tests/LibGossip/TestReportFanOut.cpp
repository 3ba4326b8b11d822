/// @file Tests the distribution of engine reports to the entries.

#include "LibGossip/ReportFanOut.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

std::vector<Gossip::Member> entries(std::size_t domains, std::size_t entriesPerDomain)
{
    std::vector<Gossip::Member> members;
    for (std::size_t index = 0; index < domains * entriesPerDomain; ++index) {
        Gossip::Member member;
        member.m_id = "entry-" + std::to_string(index);
        member.m_failureDomain = "domain-" + std::to_string(index % domains);
        member.m_peers = Core::Address{"10.0.0." + std::to_string(index), 7700};
        members.push_back(member);
    }
    return members;
}

}

TEST_CASE("In small failure domains each entry receives every report directly")
{
    Core::Random random(1);
    const Gossip::ReportFanOut fanOut;
    for (const Gossip::ReportUrgency urgency : {Gossip::ReportUrgency::Regular, Gossip::ReportUrgency::Prompt}) {
        CHECK(Gossip::reportTargets(entries(3, fanOut.m_maximumDirectEntries), "domain-0", urgency, fanOut, random).size()
              == 3 * fanOut.m_maximumDirectEntries);
    }
    CHECK_FALSE(Gossip::relaysReports(fanOut.m_maximumDirectEntries, fanOut));
    CHECK(Gossip::relaysReports(fanOut.m_maximumDirectEntries + 1, fanOut));
}

TEST_CASE("In each large failure domain one relay receives a regular report and two receive a critical one")
{
    // If 58 agents reported directly to 52 entries three times a second, the links between regions would be saturated and answers to callers delayed.
    Core::Random random(2);
    const Gossip::ReportFanOut fanOut;
    const std::vector<Gossip::Member> all = entries(3, 18);
    std::set<Core::Address> used;
    for (int report = 0; report < 200; ++report) {
        const std::vector<Core::Address> targets = Gossip::reportTargets(all, "domain-0", Gossip::ReportUrgency::Regular, fanOut, random);
        CHECK(targets.size() == 3);
        used.insert(targets.begin(), targets.end());
        CHECK(Gossip::reportTargets(all, "domain-0", Gossip::ReportUrgency::Critical, fanOut, random).size() == 3 * fanOut.m_criticalCopies);
    }
    CHECK(used.size() == 3 * fanOut.m_relaysPerDomain);
}

TEST_CASE("In large failure domains a report of urgency Prompt is sent only within the engine's own domain")
{
    // The reports of full engines have the urgency Prompt and are sent between two heartbeats. If they were sent to all failure domains, their number would
    // grow with the product of engines, entries and how often engines are full.
    Core::Random random(4);
    const Gossip::ReportFanOut fanOut;
    const std::vector<Gossip::Member> all = entries(5, 30);
    for (int report = 0; report < 50; ++report) {
        const std::vector<Core::Address> targets = Gossip::reportTargets(all, "domain-2", Gossip::ReportUrgency::Prompt, fanOut, random);
        REQUIRE(targets.size() == 1);
        const std::vector<Gossip::Member>::const_iterator target =
            std::find_if(all.begin(), all.end(), [&targets](const Gossip::Member &entry) { return entry.m_peers == targets.front(); });
        CHECK(target->m_failureDomain == "domain-2");
    }
}

TEST_CASE("Without entries a report has no targets")
{
    Core::Random random(3);
    CHECK(Gossip::reportTargets({}, "domain-0", Gossip::ReportUrgency::Critical, Gossip::ReportFanOut{}, random).empty());
}
