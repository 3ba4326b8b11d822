/// @file Calls that may not be repeated, through two entries, with everything lost that can be.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

struct Desk
{
    FakePlatform m_platform;
    FakeAgent m_agent{"portal-1", PlainService};
    TestEntry m_first{"entry-1", m_platform, {}};
    TestEntry m_second{"entry-2", m_platform, {m_first.member().m_wire}};

    Desk()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_agent.member());
        waitUntil([this] { return m_first.hasAvailableEndpoints(1) && m_second.hasAvailableEndpoints(1); });
        // Each must know the other, so that both name the same writers.
        waitUntil([this] { return knowsOther(m_first, m_second) && knowsOther(m_second, m_first); });
    }

    static bool knowsOther(const TestEntry &entry, const TestEntry &other)
    {
        return send(entry.member().m_admin, "GET", "/status", "").m_body.find(other.member().m_incarnation) != std::string::npos;
    }
};

}

TEST_CASE("a keyed call runs once, and its key gives the first outcome through either entry")
{
    Desk desk;
    const std::string key = desk.m_first.newKey("crew-7");
    const HttpReply reply = desk.m_first.keyedCall(key);
    REQUIRE(reply.m_status == 200);
    REQUIRE(desk.m_second.keyedCall(key).m_body == reply.m_body);
    REQUIRE(desk.m_first.keyedCall(key).m_body == reply.m_body);
    REQUIRE(desk.m_agent.effects() == 1);
    REQUIRE(desk.m_first.keyedCall(desk.m_first.newKey("crew-8")).m_status == 200);
    REQUIRE(desk.m_agent.effects() == 2);
}

TEST_CASE("one key sent to two entries at the same time runs once")
{
    // A booking application loses patience and sends the same confirmation through a second address. Two crews would come.
    Desk desk;
    for (int round = 0; round < 5; ++round) {
        const std::string key = desk.m_first.newKey("crew-" + std::to_string(round));
        std::future<HttpReply> other = std::async(std::launch::async, [&desk, &key] { return desk.m_second.keyedCall(key); });
        const HttpReply reply = desk.m_first.keyedCall(key);
        const HttpReply otherReply = other.get();
        // Whoever asks while the winner has not been dispatched bars it; then one of the two runs, or both are told not run.
        const bool answered = reply.m_status == 200 || otherReply.m_status == 200;
        REQUIRE(desk.m_agent.effects() <= round + 1);
        if (!answered) {
            REQUIRE(desk.m_first.keyedCall(key).m_status == 200);
        }
        REQUIRE(desk.m_agent.effects() == round + 1);
    }
}

TEST_CASE("an answer that is lost on its way is fetched from the agent, not made again")
{
    // The booking was made and the connection broke before the answer came. Sent again it would be made twice.
    Desk desk;
    desk.m_agent.setBehavior([](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &) { agent.run(request); });
    const HttpReply reply = desk.m_first.keyedCall(desk.m_first.newKey("crew-7"));
    REQUIRE(reply.m_status == 200);
    REQUIRE(reply.m_body == "red linen frames");
    REQUIRE(desk.m_agent.effects() == 1);
    REQUIRE(desk.m_agent.calls() == 1);
}

TEST_CASE("an outcome that nobody knows is called unknown, and the call is not repeated")
{
    Desk desk;
    const std::string key = desk.m_first.newKey("crew-7");
    SECTION("the endpoint's answer was lost at the agent")
    {
        desk.m_agent.setBehavior([](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &) { agent.runAndLoseOutcome(request); });
    }
    SECTION("the agent is out of reach")
    {
        desk.m_agent.setBehavior([](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &) { agent.run(request); });
        desk.m_agent.setOutcomeReachable(false);
    }
    const HttpReply reply = desk.m_first.keyedCall(key);
    REQUIRE(reply.m_status == 502);
    REQUIRE(reply.code() == "outcome-unknown");
    const HttpReply again = desk.m_second.keyedCall(key);
    REQUIRE((again.m_status == 502 || again.m_status == 409));
    REQUIRE(desk.m_agent.effects() == 1);
    REQUIRE(desk.m_agent.calls() == 1);
}

TEST_CASE("a call that the agent refused is not run, and its key works again")
{
    // The agent is full or leaving. The caller is told to come back, comes back with the same key, and must be served.
    Desk desk;
    const std::string key = desk.m_first.newKey("crew-7");
    desk.m_agent.setBehavior([](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "queue attempt", "", "full"));
    });
    const HttpReply refused = desk.m_first.keyedCall(key);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE_FALSE(refused.m_retryAfter.empty());
    REQUIRE(desk.m_agent.effects() == 0);
}

TEST_CASE("while the log is down a keyed call is refused at once as not run, and it does not run")
{
    Desk desk;
    const std::string key = desk.m_first.newKey("crew-7");
    desk.m_platform.setFaults(R"({"down":true})");
    const HttpReply refused = desk.m_first.keyedCall(key);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE_FALSE(refused.m_retryAfter.empty());
    REQUIRE(desk.m_agent.calls() == 0);
    REQUIRE(desk.m_first.call().m_status == 200);
    desk.m_platform.setFaults(R"({"down":false})");
    waitUntil([&desk, &key] { return desk.m_first.keyedCall(key).m_status == 200; });
    REQUIRE(desk.m_agent.effects() == 2);
}

TEST_CASE("lost answers of the log delay a keyed call and do not double it")
{
    Desk desk;
    const std::string key = desk.m_first.newKey("crew-7");
    desk.m_platform.setFaults(R"({"lose_answers":true})");
    HttpReply reply = desk.m_first.keyedCall(key);
    while (reply.m_status == 503) {
        reply = desk.m_second.keyedCall(key);
    }
    REQUIRE(reply.m_status == 200);
    REQUIRE(desk.m_agent.effects() == 1);
}

TEST_CASE("a key older than the claims that are kept is refused")
{
    FakePlatform platform;
    platform.publishTemplate();
    FakeAgent agent("portal-1", PlainService);
    platform.registerAgent(agent.member());
    TestEntry entry("entry-1", platform, {}, [](Entry::EntrySettings &settings) { settings.m_claims.m_window = 16; });
    waitUntil([&entry] { return entry.hasAvailableEndpoints(1); });
    const std::string old = entry.newKey("old");
    REQUIRE(entry.keyedCall(old).m_status == 200);
    for (int call = 0; call < 20; ++call) {
        REQUIRE(entry.keyedCall(entry.newKey("new-" + std::to_string(call))).m_status == 200);
    }
    const HttpReply refused = entry.keyedCall(old);
    REQUIRE(refused.m_status == 410);
    REQUIRE(refused.code() == "key-expired");
    REQUIRE(agent.effects() == 21);
}

TEST_CASE("keys of two accounts don't meet")
{
    Desk desk;
    const std::string key = desk.m_first.newKey("crew-7");
    REQUIRE(desk.m_first.keyedCall(key).m_status == 200);
    const std::string path = std::string("/v1/call/") + PlainService + "/crew/confirm";
    REQUIRE(send(desk.m_first.member().m_callers, "POST", path, "{}", {{"Oriolerail-Account", "accrochage"}, {"Idempotency-Key", key}}).m_status == 200);
    REQUIRE(desk.m_agent.effects() == 2);
}
