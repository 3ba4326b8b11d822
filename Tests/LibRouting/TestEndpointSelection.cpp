/// @file Eligibility and the choice of endpoints, over random fleets.

#include "AgentReports.h"
#include "LibRouting/EndpointSelection.h"
#include "LibRouting/VersionChoice.h"

#include <catch2/catch.hpp>
#include <random>

using namespace RoutingTest;

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
const Routing::GroupKey Group{Service, Digest};

/// A fleet in which anything can be wrong with any endpoint.
Routing::EndpointTable randomFleet(Core::Random &random, Core::Instant now)
{
    Routing::EndpointTable table;
    const std::size_t size = 1 + random.below(40);
    for (std::size_t index = 0; index < size; ++index) {
        Protocol::AgentReport report = makeReport(instanceName(index), 1, static_cast<std::uint32_t>(random.below(6)));
        report.m_member.m_leaving = random.below(5) == 0;
        report.m_endpointHealthy = random.below(5) != 0;
        if (random.below(4) == 0) {
            report.m_attestations[0].m_digest = "digest-6";
        }
        const bool silent = random.below(5) == 0;
        table.update(report, silent ? now - Routing::ReportTimeout : now);
    }
    return table;
}

}

TEST_CASE("no strategy ever picks an endpoint that may not take the request")
{
    // A leaving instance, a dead one, or one with another version is picked because its reported load looks low. The caller would get an error or,
    // worse, an answer of the wrong version.
    const std::uint64_t seed = std::random_device()();
    INFO("seed " << seed);
    Core::Random random(seed);
    const Routing::Strategy strategies[] = {Routing::Strategy::Random,
                                            Routing::Strategy::LeastReportedLoad,
                                            Routing::Strategy::JoinFastestFreeServer,
                                            Routing::Strategy::PowerOfTwoChoices,
                                            Routing::Strategy::PrefixAffinity};
    for (int round = 0; round < 500; ++round) {
        const Routing::EndpointTable table = randomFleet(random, Start);
        const std::vector<std::string> excluded{instanceName(random.below(40))};
        const Routing::SelectionRequest request{random.next() | 1, excluded, random.below(2) == 0};
        bool any = false;
        for (const Routing::EndpointView &endpoint : table.endpoints()) {
            any = any
                || (Routing::isEligible(endpoint, Digest, Start) && endpoint.m_member.m_id != excluded[0]
                    && (!request.m_needsFreeSlot || Routing::hasFreeSlot(endpoint)));
        }
        for (const Routing::Strategy strategy : strategies) {
            const std::optional<Routing::EndpointIndex> index = Routing::selectEndpoint(strategy, table, Group, request, Start, random);
            REQUIRE(index.has_value() == any);
            if (!index) {
                continue;
            }
            const Routing::EndpointView &endpoint = table.at(*index);
            REQUIRE(Routing::isEligible(endpoint, Digest, Start));
            REQUIRE(endpoint.m_member.m_id != excluded[0]);
            REQUIRE((!request.m_needsFreeSlot || Routing::hasFreeSlot(endpoint)));
        }
    }
}

TEST_CASE("a leaving endpoint gets nothing from its first report of leaving on")
{
    Routing::EndpointTable table;
    table.update(makeReport("engine-0", 1), Start);
    REQUIRE(table.countAvailable(Group, Start) == 1);
    Protocol::AgentReport leaving = makeReport("engine-0", 2);
    leaving.m_member.m_leaving = true;
    table.update(leaving, Start);
    REQUIRE(table.countAvailable(Group, Start) == 0);
    table.update(makeReport("engine-0", 1), Start);
    REQUIRE(table.countAvailable(Group, Start) == 0);
}

TEST_CASE("a new incarnation starts afresh, and an old one's late calls don't count against it")
{
    // An instance is replaced under its name. The ends of calls to the old process would otherwise make the new one look idle or overfull.
    Routing::EndpointTable table;
    table.update(makeReport("engine-0", 9), Start);
    table.onCallStarted(0);
    Protocol::AgentReport fresh = makeReport("engine-0", 1);
    fresh.m_member.m_incarnation = "another-life";
    table.update(fresh, Start);
    REQUIRE(table.at(0).m_outstanding == 0);
    table.onCallStarted(0);
    table.onCallEnded(0, "engine-0-life", 1.0);
    REQUIRE(table.at(0).m_outstanding == 1);
    table.onCallEnded(0, "another-life", 1.0);
    REQUIRE(table.at(0).m_outstanding == 0);
}

TEST_CASE("own work since the report counts, and the report's own part of it does not count twice")
{
    Routing::EndpointTable table;
    table.update(makeReport("engine-0", 1, 2), Start);
    table.onCallStarted(0);
    REQUIRE(Routing::estimatedRequests(table.at(0)) == 3);
    table.update(makeReport("engine-0", 2, 3), Start);
    REQUIRE(Routing::estimatedRequests(table.at(0)) == 3);
    table.onCallEnded(0, "engine-0-life", 1.0);
    REQUIRE(Routing::estimatedRequests(table.at(0)) == 2);
}

TEST_CASE("one prompt prefix keeps its endpoint until that has too much, then spills")
{
    Core::Random random(1);
    Routing::EndpointTable table;
    for (std::size_t index = 0; index < 16; ++index) {
        table.update(makeReport(instanceName(index), 1, 0, 16), Start);
    }
    const Routing::SelectionRequest request{Routing::affinityHash("sao-mai", "season report: "), {}, true};
    std::map<Routing::EndpointIndex, int> picks;
    for (int round = 0; round < 8; ++round) {
        const std::optional<Routing::EndpointIndex> index = Routing::selectEndpoint(Routing::Strategy::PrefixAffinity, table, Group, request, Start, random);
        REQUIRE(index);
        picks[*index] += 1;
    }
    REQUIRE(picks.size() == 1);
    const Routing::EndpointIndex owner = picks.begin()->first;
    for (int call = 0; call < 12; ++call) {
        table.onCallStarted(owner);
    }
    const std::optional<Routing::EndpointIndex> spilled = Routing::selectEndpoint(Routing::Strategy::PrefixAffinity, table, Group, request, Start, random);
    REQUIRE(spilled);
    REQUIRE(*spilled != owner);
}

TEST_CASE("an account moves to a new version once enough replicas serve it, and stays with the old one until then")
{
    // A rollout begins and one replica of sixteen serves the new version. Sent there at once, the whole account would wait for one engine.
    Routing::RolloutState situation{"new", 16, "old", 1, 15, 16, false};
    REQUIRE(Routing::chooseVersion(situation) == "old");
    situation.m_wantedServing = 8;
    REQUIRE(Routing::chooseVersion(situation) == "new");
    situation.m_wantedServing = 1;
    situation.m_switched = true;
    REQUIRE(Routing::chooseVersion(situation) == "new");
    situation.m_wantedServing = 0;
    REQUIRE(Routing::chooseVersion(situation) == "old");
    situation.m_previousServing = 0;
    REQUIRE(Routing::chooseVersion(situation).empty());
    REQUIRE(Routing::chooseVersion(Routing::RolloutState{"new", 16, "", 1, 0, 16, false}) == "new");
}
