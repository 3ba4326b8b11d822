/// @file Eligibility and selection of endpoints on random fleets, and the choice of a version during a rollout.

#include "AgentReports.h"
#include "LibRouting/EndpointSelection.h"
#include "LibRouting/VersionChoice.h"

#include <catch2/catch.hpp>
#include <random>

using namespace RoutingTest;

namespace {

const Core::Instant Start = Core::Instant() + Core::Duration(1000000);
const Routing::GroupKey Group{Service, Digest};

/// Returns a fleet whose endpoints are at random leaving, unhealthy, silent, loaded, or of another version.
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

TEST_CASE("no strategy selects an endpoint that must not take the request")
{
    // A leaving, unavailable or wrong-version endpoint is selected because its reported load is low. The caller would get an error or an answer of the
    // wrong version.
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
        bool anyCandidate = false;
        for (const Routing::EndpointView &endpoint : table.endpoints()) {
            anyCandidate = anyCandidate
                || (Routing::isEligible(endpoint, Digest, Start) && endpoint.m_member.m_id != excluded[0]
                    && (!request.m_needsFreeSlot || Routing::hasFreeSlot(endpoint)));
        }
        for (const Routing::Strategy strategy : strategies) {
            const std::optional<Routing::EndpointIndex> index = Routing::selectEndpoint(strategy, table, Group, request, Start, random);
            REQUIRE(index.has_value() == anyCandidate);
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

TEST_CASE("an endpoint is unavailable from its first report that it is leaving")
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

TEST_CASE("a new incarnation resets the endpoint's state, and calls to an earlier incarnation don't change it")
{
    // An instance is replaced under the same name. Calls to the old process would otherwise make the new one look idle or overloaded.
    Routing::EndpointTable table;
    table.update(makeReport("engine-0", 9), Start);
    table.onCallStarted(0);
    Protocol::AgentReport restarted = makeReport("engine-0", 1);
    restarted.m_member.m_incarnation = "another-life";
    table.update(restarted, Start);
    REQUIRE(table.at(0).m_outstanding == 0);
    table.onCallStarted(0);
    table.onCallEnded(0, "engine-0-life", 1.0);
    REQUIRE(table.at(0).m_outstanding == 1);
    table.onCallEnded(0, "another-life", 1.0);
    REQUIRE(table.at(0).m_outstanding == 0);
}

TEST_CASE("calls since the newest report are added to its load, and calls that the report contains are not counted twice")
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

TEST_CASE("a prompt prefix keeps its endpoint until that is overloaded, then another endpoint is selected")
{
    Core::Random random(1);
    Routing::EndpointTable table;
    for (std::size_t index = 0; index < 16; ++index) {
        table.update(makeReport(instanceName(index), 1, 0, 16), Start);
    }
    const Routing::SelectionRequest request{Routing::affinityHash("sao-mai", "season report: "), {}, true};
    std::map<Routing::EndpointIndex, int> selections;
    for (int round = 0; round < 8; ++round) {
        const std::optional<Routing::EndpointIndex> index = Routing::selectEndpoint(Routing::Strategy::PrefixAffinity, table, Group, request, Start, random);
        REQUIRE(index);
        selections[*index] += 1;
    }
    REQUIRE(selections.size() == 1);
    const Routing::EndpointIndex owner = selections.begin()->first;
    for (int call = 0; call < 12; ++call) {
        table.onCallStarted(owner);
    }
    const std::optional<Routing::EndpointIndex> other = Routing::selectEndpoint(Routing::Strategy::PrefixAffinity, table, Group, request, Start, random);
    REQUIRE(other);
    REQUIRE(*other != owner);
}

TEST_CASE("an account is switched to a new version once enough replicas serve it, and stays on the old one until then")
{
    // When a rollout begins, one replica of sixteen serves the new version. If the account were switched at once, all its requests would wait for one engine.
    Routing::RolloutState rollout{"new", 16, "old", 1, 15, 16, false};
    REQUIRE(Routing::chooseVersion(rollout) == "old");
    rollout.m_wantedServing = 8;
    REQUIRE(Routing::chooseVersion(rollout) == "new");
    rollout.m_wantedServing = 1;
    rollout.m_switched = true;
    REQUIRE(Routing::chooseVersion(rollout) == "new");
    rollout.m_wantedServing = 0;
    REQUIRE(Routing::chooseVersion(rollout) == "old");
    rollout.m_previousServing = 0;
    REQUIRE(Routing::chooseVersion(rollout).empty());
    REQUIRE(Routing::chooseVersion(Routing::RolloutState{"new", 16, "", 1, 0, 16, false}) == "new");
}
