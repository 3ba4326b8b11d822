/// @file Tests that the journal checker reports each guarantee when it is violated, and only then.

#include "LibStandIn/JournalChecker.h"
#include "LibStandIn/Tokens.h"

#include <catch2/catch.hpp>

namespace {

const std::set<std::string> KnownWeights{"d1", "d2"};

/// Returns the evidence of a run without a violation.
StandIn::RunEvidence makeEvidence()
{
    StandIn::RunEvidence evidence;
    evidence.m_engines = {{"e1", true, {{"r1", "a", "q1", "d1", 3, true}}}, {"e2", true, {{"r2", "a", "q2", "d2", 1, false}}}};
    evidence.m_services = {{"s1", true, {{1, "k1", "t1", "a", "/x"}}}, {"s2", true, {}}};
    evidence.m_callers = {{false, false, "q1", "", "ok", "d1", 0},
                          {false, false, "q2", "", "failed", "", 1},
                          {false, false, "q3", "", "not-run", "", 0},
                          {true, true, "q4", "k1", "ok", "", 0},
                          {true, true, "q5", "k2", "not-run", "", 0},
                          {true, true, "q6", "k3", "unknown", "", 0}};
    return evidence;
}

std::vector<std::string> violatedGuarantees(const StandIn::RunEvidence &evidence)
{
    std::vector<std::string> guarantees;
    for (const StandIn::Violation &violation : StandIn::checkRun(evidence, KnownWeights)) {
        guarantees.push_back(violation.m_guarantee);
    }
    return guarantees;
}

using Guarantees = std::vector<std::string>;

}

TEST_CASE("A run in which every guarantee holds has no violation")
{
    REQUIRE(violatedGuarantees(makeEvidence()).empty());
}

TEST_CASE("A run on weights of no known version is reported")
{
    StandIn::RunEvidence evidence = makeEvidence();
    evidence.m_engines[0].m_runs[0].m_digest = "half of d1";
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"whole weights only"});
}

TEST_CASE("An attempt that ran on two engines is reported")
{
    StandIn::RunEvidence evidence = makeEvidence();
    evidence.m_engines[1].m_runs[0].m_request = "r1";
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"an attempt runs once"});
}

TEST_CASE("A key with two effects is reported, also if they are at two services")
{
    StandIn::RunEvidence evidence = makeEvidence();
    evidence.m_services[1].m_effects.push_back({1, "k1", "t2", "a", "/x"});
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"at most once"});
    evidence.m_services[1].m_effects[0].m_key = "";
    REQUIRE(violatedGuarantees(evidence).empty());
}

TEST_CASE("A request reported as not run is a violation if it ran")
{
    StandIn::RunEvidence evidence = makeEvidence();
    evidence.m_services[1].m_effects.push_back({1, "k2", "t2", "a", "/x"});
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"not run is true"});
    evidence = makeEvidence();
    evidence.m_engines[1].m_runs.push_back({"r3", "a", "q3", "d1", 0, false});
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"not run is true"});
    evidence.m_callers[2].m_brokenTries = 1;
    REQUIRE(violatedGuarantees(evidence).empty());
}

TEST_CASE("An answer to a request that did not run is reported, unless a journal is incomplete")
{
    StandIn::RunEvidence evidence = makeEvidence();
    evidence.m_services[0].m_effects.clear();
    evidence.m_engines[0].m_runs[0].m_completed = false;
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"an answer has run", "an answer has run"});
    evidence.m_services[0].m_isComplete = false;
    evidence.m_engines[1].m_isComplete = false;
    REQUIRE(violatedGuarantees(evidence).empty());
}

TEST_CASE("An answer that a caller found wrong is reported")
{
    StandIn::RunEvidence evidence = makeEvidence();
    evidence.m_callers[1].m_outcome = "wrong";
    REQUIRE(violatedGuarantees(evidence) == Guarantees{"each gets the whole answer to its own request"});
}

TEST_CASE("Valid journals and traces are parsed, and malformed ones are refused")
{
    const std::string line = R"({"kind":"call","keyed":true,"account":"a","prompt":"p","expect":"not-run",)"
                             R"("observed":{"key":"k","digest":"","broken_tries":0}})";
    const StandIn::CallerRecord expected{true, true, StandIn::questionName("a", "p"), "k", "not-run", "", 0};
    REQUIRE(StandIn::parseCallerRecord(line).value() == expected);
    REQUIRE_FALSE(StandIn::parseCallerRecord(R"({"kind":"call"})"));
    REQUIRE_FALSE(StandIn::parseEngineJournal("e", R"({"dropped":0})"));
    REQUIRE_FALSE(StandIn::parseServiceJournal("s", R"({"dropped":0,"effects":[1]})"));
    REQUIRE_FALSE(StandIn::parseEngineJournal("e", R"({"dropped":3,"ran":[]})").value().m_isComplete);
}
