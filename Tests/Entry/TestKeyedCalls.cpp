/// @file Keyed calls through two entries, with lost answers, unreachable agents and log outages.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

struct TwoEntryCluster
{
    FakePlatform m_platform;
    FakeAgent m_agent{"portal-1", PlainService};
    TestEntry m_first{"entry-1", m_platform, {}};
    TestEntry m_second{"entry-2", m_platform, {m_first.member().m_wire}};

    TwoEntryCluster()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_agent.member());
        waitUntil([this] { return m_first.hasAvailableEndpoints(1) && m_second.hasAvailableEndpoints(1); });
        // Each entry must list the other as a member, so that both select the same claim writers.
        waitUntil([this] { return hasMember(m_first, m_second) && hasMember(m_second, m_first); });
    }

    static bool hasMember(const TestEntry &entry, const TestEntry &other)
    {
        return send(entry.member().m_admin, "GET", "/status", "").m_body.find(other.member().m_incarnation) != std::string::npos;
    }
};

}

TEST_CASE("a keyed call runs once, and a retry with its key returns the first outcome through either entry")
{
    TwoEntryCluster cluster;
    const std::string key = cluster.m_first.newKey("crew-7");
    const HttpReply reply = cluster.m_first.keyedCall(key);
    REQUIRE(reply.m_status == 200);
    REQUIRE(cluster.m_second.keyedCall(key).m_body == reply.m_body);
    REQUIRE(cluster.m_first.keyedCall(key).m_body == reply.m_body);
    REQUIRE(cluster.m_agent.executions() == 1);
    REQUIRE(cluster.m_first.keyedCall(cluster.m_first.newKey("crew-8")).m_status == 200);
    REQUIRE(cluster.m_agent.executions() == 2);
}

TEST_CASE("a call sent with one key to two entries concurrently runs once")
{
    // A client times out and sends the same call through a second address. Without the claims it would run twice.
    TwoEntryCluster cluster;
    for (int round = 0; round < 5; ++round) {
        const std::string key = cluster.m_first.newKey("crew-" + std::to_string(round));
        std::future<HttpReply> other = std::async(std::launch::async, [&cluster, &key] { return cluster.m_second.keyedCall(key); });
        const HttpReply reply = cluster.m_first.keyedCall(key);
        const HttpReply otherReply = other.get();
        // An outcome query before the holder's dispatch arrives prevents the holder from running. Then one of the two calls runs, or both end as not run.
        const bool answered = reply.m_status == 200 || otherReply.m_status == 200;
        REQUIRE(cluster.m_agent.executions() <= round + 1);
        if (!answered) {
            REQUIRE(cluster.m_first.keyedCall(key).m_status == 200);
        }
        REQUIRE(cluster.m_agent.executions() == round + 1);
    }
}

TEST_CASE("an outcome whose answer was lost is fetched from the agent without running the call again")
{
    // The call ran and the connection broke before the answer arrived. If the call were sent again, it would run twice.
    TwoEntryCluster cluster;
    cluster.m_agent.setBehavior([](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &) { agent.run(request); });
    const HttpReply reply = cluster.m_first.keyedCall(cluster.m_first.newKey("crew-7"));
    REQUIRE(reply.m_status == 200);
    REQUIRE(reply.m_body == "red linen frames");
    REQUIRE(cluster.m_agent.executions() == 1);
    REQUIRE(cluster.m_agent.calls() == 1);
}

TEST_CASE("an outcome that cannot be determined is reported as unknown, and the call is not repeated")
{
    TwoEntryCluster cluster;
    const std::string key = cluster.m_first.newKey("crew-7");
    SECTION("the agent lost the endpoint's answer")
    {
        cluster.m_agent.setBehavior([](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &) { agent.runAndLoseOutcome(request); });
    }
    SECTION("the agent is unreachable")
    {
        cluster.m_agent.setBehavior([](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &) { agent.run(request); });
        cluster.m_agent.setOutcomeReachable(false);
    }
    const HttpReply reply = cluster.m_first.keyedCall(key);
    REQUIRE(reply.m_status == 502);
    REQUIRE(reply.code() == "outcome-unknown");
    const HttpReply again = cluster.m_second.keyedCall(key);
    REQUIRE((again.m_status == 502 || again.m_status == 409));
    REQUIRE(cluster.m_agent.executions() == 1);
    REQUIRE(cluster.m_agent.calls() == 1);
}

TEST_CASE("a call that the agent refused is reported as not run, with a retry time")
{
    // The agent is full or leaving. The caller gets a refusal with a retry time, so that it can retry with the same key.
    TwoEntryCluster cluster;
    const std::string key = cluster.m_first.newKey("crew-7");
    cluster.m_agent.setBehavior([](FakeAgent &, const Protocol::LiveRequest &, const Wire::Responder &responder) {
        responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "queue attempt", "", "full"));
    });
    const HttpReply refused = cluster.m_first.keyedCall(key);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE_FALSE(refused.m_retryAfter.empty());
    REQUIRE(cluster.m_agent.executions() == 0);
}

TEST_CASE("while the log is down, a keyed call is refused at once as not run and does not run")
{
    TwoEntryCluster cluster;
    const std::string key = cluster.m_first.newKey("crew-7");
    cluster.m_platform.setFaults(R"({"down":true})");
    const HttpReply refused = cluster.m_first.keyedCall(key);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE_FALSE(refused.m_retryAfter.empty());
    REQUIRE(cluster.m_agent.calls() == 0);
    REQUIRE(cluster.m_first.call().m_status == 200);
    cluster.m_platform.setFaults(R"({"down":false})");
    waitUntil([&cluster, &key] { return cluster.m_first.keyedCall(key).m_status == 200; });
    REQUIRE(cluster.m_agent.executions() == 2);
}

TEST_CASE("lost answers of the log delay a keyed call but don't make it run twice")
{
    TwoEntryCluster cluster;
    const std::string key = cluster.m_first.newKey("crew-7");
    cluster.m_platform.setFaults(R"({"lose_answers":true})");
    HttpReply reply = cluster.m_first.keyedCall(key);
    while (reply.m_status == 503) {
        reply = cluster.m_second.keyedCall(key);
    }
    REQUIRE(reply.m_status == 200);
    REQUIRE(cluster.m_agent.executions() == 1);
}

TEST_CASE("a key older than the claims kept is refused")
{
    FakePlatform platform;
    platform.publishTemplate();
    FakeAgent agent("portal-1", PlainService);
    platform.registerAgent(agent.member());
    TestEntry entry("entry-1", platform, {}, [](Entry::EntrySettings &settings) { settings.m_claims.m_window = 16; });
    waitUntil([&entry] { return entry.hasAvailableEndpoints(1); });
    const std::string oldKey = entry.newKey("old");
    REQUIRE(entry.keyedCall(oldKey).m_status == 200);
    for (int call = 0; call < 20; ++call) {
        REQUIRE(entry.keyedCall(entry.newKey("new-" + std::to_string(call))).m_status == 200);
    }
    const HttpReply refused = entry.keyedCall(oldKey);
    REQUIRE(refused.m_status == 410);
    REQUIRE(refused.code() == "key-expired");
    REQUIRE(agent.executions() == 21);
}

TEST_CASE("equal keys of two accounts don't conflict")
{
    TwoEntryCluster cluster;
    const std::string key = cluster.m_first.newKey("crew-7");
    REQUIRE(cluster.m_first.keyedCall(key).m_status == 200);
    const std::string path = std::string("/v1/call/") + PlainService + "/crew/confirm";
    REQUIRE(send(cluster.m_first.member().m_callers, "POST", path, "{}", {{"Oriolerail-Account", "accrochage"}, {"Idempotency-Key", key}}).m_status == 200);
    REQUIRE(cluster.m_agent.executions() == 2);
}
