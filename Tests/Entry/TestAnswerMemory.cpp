/// @file Tests that the answers of services do not exceed the memory that all of them share.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

constexpr std::size_t HeldAnswerBytes = 1 << 20;

struct ServiceCluster
{
    FakePlatform m_platform;
    FakeAgent m_agent{"portal-1", PlainService};
    TestEntry m_entry{"entry-1", m_platform, {}, [](Entry::EntrySettings &settings) { settings.m_callers.m_maximumHeldAnswerBytes = HeldAnswerBytes; }};

    ServiceCluster()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_agent.member());
        waitUntil([this] { return m_entry.hasAvailableEndpoints(1); });
    }

    std::size_t metric(const std::string &name) const
    {
        const std::string metrics = send(m_entry.member().m_admin, "GET", "/metrics", "").m_body;
        const std::size_t at = metrics.find(name + "{use=\"answers\"} ");
        INFO(name);
        REQUIRE(at != std::string::npos);
        return std::stoull(metrics.substr(metrics.find(' ', at) + 1));
    }
};

/// Answers of 512 KiB whose end is withheld until @p isReleased.
FakeAgent::Behavior withheldAnswer(const std::shared_ptr<std::atomic<bool>> &isReleased)
{
    return [isReleased](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &responder) {
        constexpr std::size_t parts = 16;
        constexpr std::size_t partBytes = 32 << 10;
        agent.run(request);
        const std::shared_ptr<Endpoint::AnswerFramer> framer = std::make_shared<Endpoint::AnswerFramer>(request.m_attempt, request.m_digest, 200);
        for (std::size_t part = 0; part < parts; ++part) {
            responder.send(Wire::pack(framer->dataFrame(std::string(partBytes, 'p'), Protocol::EndpointLoad())));
        }
        std::thread([isReleased, framer, responder] {
            waitUntil([isReleased] { return isReleased->load(); });
            responder.send(Wire::pack(framer->endFrame(Protocol::EndpointLoad())));
            responder.finish();
        }).detach();
    };
}

}

TEST_CASE("answers of all calls together stay within the memory for answers, and calls are refused with a retry time beyond it")
{
    // Guards against an entry that is ended because each of its threads collects an answer and nothing limits their sum.
    ServiceCluster cluster;
    const std::shared_ptr<std::atomic<bool>> isReleased = std::make_shared<std::atomic<bool>>(false);
    cluster.m_agent.setBehavior(withheldAnswer(isReleased));
    constexpr std::size_t callers = 8;
    std::vector<std::future<HttpReply>> replies;
    for (std::size_t caller = 0; caller < callers; ++caller) {
        replies.push_back(std::async(std::launch::async, [&cluster] { return cluster.m_entry.call(); }));
    }
    // No answer ends before it is released, so that only refused calls have ended.
    waitUntil([&replies] {
        std::size_t ended = 0;
        for (const std::future<HttpReply> &reply : replies) {
            ended += reply.wait_for(Core::Duration(0)) == std::future_status::ready ? 1 : 0;
        }
        return ended >= callers - HeldAnswerBytes / (512 << 10);
    });
    *isReleased = true;
    std::size_t answered = 0;
    std::size_t refused = 0;
    for (std::future<HttpReply> &reply : replies) {
        const HttpReply received = reply.get();
        answered += received.m_status == 200 ? 1 : 0;
        refused += received.m_status != 200 && !received.m_retryAfter.empty() ? 1 : 0;
    }
    CHECK(answered + refused == callers);
    CHECK(cluster.metric("memory_held_peak_bytes") <= HeldAnswerBytes);
    CHECK(cluster.metric("memory_held_bytes") == 0);
    CHECK(cluster.metric("callers_without_memory_total") == refused);

    cluster.m_agent.setBehavior(
        [](FakeAgent &agent, const Protocol::LiveRequest &request, const Wire::Responder &responder) { agent.answer(request, responder); });
    CHECK(cluster.m_entry.call().m_status == 200);
}
