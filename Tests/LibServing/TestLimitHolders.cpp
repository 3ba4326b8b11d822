/// @file Tests that the parts of all entries in a limit never exceed it, whichever of them leave.

#include "LibPlacement/ColdBudget.h"
#include "LibServing/LimitHolders.h"

#include <catch2/catch.hpp>

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);
constexpr double PerSecond = 26;

Gossip::Member entry(std::size_t index, std::size_t leaving)
{
    Gossip::Member member;
    member.m_id = "entry-" + std::to_string(index);
    member.m_failureDomain = std::string(1, static_cast<char>('a' + index % 3));
    member.m_isLeaving = index < leaving;
    return member;
}

/// Returns the entries that @p self knows. The first @p leaving of all entries leave.
std::vector<Gossip::Member> othersOf(std::size_t self, std::size_t entries, std::size_t leaving)
{
    std::vector<Gossip::Member> others;
    for (std::size_t other = 0; other < entries; ++other) {
        if (other != self) {
            others.push_back(entry(other, leaving));
        }
    }
    return others;
}

Placement::LimitHolder holder(const Gossip::Member &member)
{
    return Placement::LimitHolder{member.m_id, member.m_failureDomain};
}

Fleet::Endpoint endpoint()
{
    Fleet::Endpoint endpoint;
    endpoint.m_id = "e";
    endpoint.m_failureDomain = "a";
    return endpoint;
}

Placement::ColdBudgetSettings coldSettings()
{
    Placement::ColdBudgetSettings settings;
    settings.m_excess = 1.5;
    settings.m_slack = 5;
    return settings;
}

}

TEST_CASE("Load: entries leave while an endpoint is cold; their parts and those of the others stay within its budget together")
{
    // Guards against entries that take over the part of one that leaves and still sends it.
    const std::size_t entries = GENERATE(3U, 5U, 53U);
    const std::size_t leaving = GENERATE_COPY(0U, 1U, 2U, entries - 1, entries);
    CAPTURE(entries, leaving);
    std::size_t requests = 0;
    for (std::size_t self = 0; self < entries; ++self) {
        const std::vector<Placement::LimitHolder> others = Serving::limitHolders(othersOf(self, entries, leaving));
        requests += Placement::coldAllowance(endpoint(), PerSecond, holder(entry(self, leaving)), others, coldSettings());
    }
    const double budget = PerSecond * coldSettings().m_excess + coldSettings().m_slack;
    CHECK(static_cast<double>(requests) <= budget * coldSettings().m_usedShare);
    CHECK(static_cast<double>(requests) >= PerSecond);
}

TEST_CASE("Entries that leave and the others stay within the limit that an endpoint has stated together")
{
    // Guards against entries that take over the share of one that leaves and still sends it.
    const double limit = GENERATE(0.5, 2.0, 20.0);
    const std::size_t entries = GENERATE(2U, 5U, 53U);
    const std::size_t leaving = GENERATE_COPY(0U, 1U, entries - 1, entries);
    CAPTURE(limit, entries, leaving);
    double sum = 0;
    for (std::size_t self = 0; self < entries; ++self) {
        const std::vector<Placement::LimitHolder> others = Serving::limitHolders(othersOf(self, entries, leaving));
        sum += Placement::ownShare(endpoint(), limit, holder(entry(self, leaving)), others, {});
    }
    CHECK(sum == Approx(limit));
}

TEST_CASE("A silent entry that leaves holds its part until the roster forgets it, in the failure domain that decides its rank")
{
    // Guards against a part that is taken over from an entry that is frozen or out of reach.
    Gossip::EntryRoster roster;
    Gossip::updateRoster(roster, {entry(0, 1), entry(1, 1)}, {}, Start);
    Gossip::updateRoster(roster, {entry(1, 1)}, {}, Start + Core::Duration(14000));
    CHECK(Serving::withSilentEntries({holder(entry(1, 1))}, roster) == std::vector<Placement::LimitHolder>{holder(entry(1, 1)), holder(entry(0, 1))});
    Gossip::updateRoster(roster, {entry(1, 1)}, {}, Start + Core::Duration(16000));
    CHECK(Serving::withSilentEntries({holder(entry(1, 1))}, roster).size() == 1);
}

TEST_CASE("An entry that has left and started again holds one part")
{
    Gossip::EntryRoster roster;
    Gossip::updateRoster(roster, {entry(0, 1)}, {}, Start);
    const Gossip::Member restarted = entry(0, 0);
    Gossip::updateRoster(roster, {restarted}, {}, Start + Core::Duration(3000));
    CHECK(Serving::withSilentEntries(Serving::limitHolders({restarted}), roster) == std::vector<Placement::LimitHolder>{holder(restarted)});
}

TEST_CASE("The traffic shares of all entries make up the whole, also while some of them leave")
{
    constexpr std::size_t entries = 5;
    const std::size_t leaving = GENERATE(0U, 2U, 5U);
    double sum = 0;
    for (std::size_t self = 0; self < entries; ++self) {
        sum += Serving::trafficShare(entry(self, leaving), othersOf(self, entries, leaving));
    }
    CHECK(sum == Approx(1));
}
