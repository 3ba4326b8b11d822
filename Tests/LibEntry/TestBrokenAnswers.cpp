/// @file Tests that an entry passes no answer of an agent on with an invalid status.

#include "LibEntry/LiveAttempt.h"
#include "LibNetwork/Listener.h"
#include "LibWire/Pack.h"

#include <catch2/catch.hpp>

TEST_CASE("A stored answer with an invalid status is no outcome")
{
    // Guards against an agent of another release that has stored what an endpoint in trouble sent.
    const std::int32_t status = GENERATE(200, 404, 599, -1, 0, 99, 100, 199, 600, 999);
    CAPTURE(status);
    Telemetry::Metrics agentMetrics;
    Wire::NodeSettings settings;
    settings.m_listen = Network::freeLoopbackAddress();
    Wire::Node agent(settings, agentMetrics);
    agent.handle("live.outcome", [status](const Wire::IncomingCall &call) {
        call.m_responder.reply(Wire::pack(Protocol::OutcomeAnswer{Protocol::Outcome::Finished, status, "body"}));
    });
    REQUIRE(agent.start());
    Telemetry::Metrics entryMetrics;
    Wire::Node entry(Wire::NodeSettings{}, entryMetrics);
    REQUIRE(entry.start());
    const Core::Result<Protocol::OutcomeAnswer> answer =
        Entry::queryOutcome(entry, Entry::OutcomeQuery{*settings.m_listen, Protocol::OutcomeRequest{}}, Core::Duration(5000));
    const bool isHttp = status >= 200 && status < 600;
    REQUIRE(answer.has_value() == isHttp);
    CHECK((isHttp || answer.error().m_code == Core::ErrorCode::Corrupt));
}

TEST_CASE("An outcome without an answer has no status")
{
    const Protocol::Outcome outcome = GENERATE(Protocol::Outcome::NeverRan, Protocol::Outcome::Running, Protocol::Outcome::Unknown);
    CAPTURE(static_cast<int>(outcome));
    Telemetry::Metrics agentMetrics;
    Wire::NodeSettings settings;
    settings.m_listen = Network::freeLoopbackAddress();
    Wire::Node agent(settings, agentMetrics);
    agent.handle("live.outcome", [outcome](const Wire::IncomingCall &call) { call.m_responder.reply(Wire::pack(Protocol::OutcomeAnswer{outcome, 0, ""})); });
    REQUIRE(agent.start());
    Telemetry::Metrics entryMetrics;
    Wire::Node entry(Wire::NodeSettings{}, entryMetrics);
    REQUIRE(entry.start());
    CHECK(Entry::queryOutcome(entry, Entry::OutcomeQuery{*settings.m_listen, Protocol::OutcomeRequest{}}, Core::Duration(5000)));
}
