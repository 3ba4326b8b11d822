/// @file Tests that valid scripts are parsed and invalid ones are rejected.

#include "LibScenario/Script.h"

#include <catch2/catch.hpp>

TEST_CASE("A script is parsed into typed steps")
{
    Scenario::Script script;
    const std::string text = "name: a\nabout: b\nfleet: {preset: small, endpoints: 3}\nsteps:\n"
                             "  - publish: {version: \"2\", replicas: 3}\n"
                             "  - kill: {process: \"agent:drafting-models-1\"}\n"
                             "  - wait: {until: serving, version: \"2\", replicas: 2}\n"
                             "  - expect: {load: l, field: failed, is: 0}\n";
    REQUIRE(Scenario::readScript(text, "a.yaml", script).empty());
    REQUIRE(script.m_topology.m_services.front().m_endpoints == 3);
    REQUIRE(script.m_steps.size() == 4);
    REQUIRE(std::get<Scenario::Publish>(script.m_steps[0].m_verb).m_replicas == 3);
    REQUIRE(script.m_steps[1].m_text == "kill agent:drafting-models-1");
    REQUIRE(std::get<Scenario::Wait>(script.m_steps[2].m_verb).m_number == 2);
    REQUIRE(std::get<Scenario::ExpectLoad>(script.m_steps[3].m_verb).m_relation == Scenario::Relation::Equal);
}

TEST_CASE("A step with no verb, two verbs or an unknown verb is rejected")
{
    Scenario::Script script;
    const std::string head = "name: a\nabout: b\nsteps:\n";
    REQUIRE_FALSE(Scenario::readScript(head + "  - {}\n", "a.yaml", script).empty());
    REQUIRE_FALSE(Scenario::readScript(head + "  - {hold: {ms: 1}, join: {load: x}}\n", "a.yaml", script).empty());
    REQUIRE_FALSE(Scenario::readScript(head + "  - {explode: {}}\n", "a.yaml", script).empty());
}
