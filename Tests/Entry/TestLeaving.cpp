/// @file An entry that leaves while callers still hold its address.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

/// Two entries before one engine; the second one is to leave.
struct LeavingSite
{
    FakePlatform m_platform;
    FakeAgent m_agent{"engine-1", ModelService};
    TestEntry m_stays;
    TestEntry m_leaves;

    LeavingSite()
        : m_stays("entry-1", published(), {})
        , m_leaves("entry-2", m_platform, {m_stays.member().m_wire})
    {
    }

    FakePlatform &published()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_agent.member());
        return m_platform;
    }
};

}

TEST_CASE("a leaving entry hands out others' addresses, serves one lifetime more, refuses then, and cuts nothing off")
{
    // A technician restarts an entry during the day. Callers hold its address for a while yet, and one is in the middle of a long draft.
    LeavingSite site;
    FakeAgent &agent = site.m_agent;
    TestEntry &stays = site.m_stays;
    TestEntry &leaves = site.m_leaves;
    waitUntil([&stays, &leaves] { return stays.hasAvailableEndpoints(1) && leaves.hasAvailableEndpoints(1); });
    waitUntil([&leaves, &stays] { return leaves.addresses().find(stays.member().m_callers.toString()) != std::string::npos; });

    std::promise<Wire::Responder> started;
    std::promise<Protocol::LiveRequest> asked;
    agent.setBehavior([&started, &asked](FakeAgent &, const Protocol::LiveRequest &request, const Wire::Responder &responder) {
        asked.set_value(request);
        started.set_value(responder);
    });
    std::future<HttpReply> running = std::async(std::launch::async, [&leaves] { return leaves.generate(); });
    const Wire::Responder responder = started.get_future().get();
    agent.setBehavior([](FakeAgent &self, const Protocol::LiveRequest &request, const Wire::Responder &answer) { self.answer(request, answer); });

    leaves.entry().startLeaving();
    REQUIRE(leaves.addresses().find(leaves.member().m_callers.toString()) == std::string::npos);
    REQUIRE(leaves.generate().isComplete());
    std::future<bool> drained = std::async(std::launch::async, [&leaves] { return leaves.entry().awaitDrained(); });
    HttpReply refused = leaves.generate();
    while (refused.m_status == 200) {
        refused = leaves.generate();
    }
    INFO("the refusal: " << refused.m_body);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(refused.m_body.find(stays.member().m_callers.toString()) != std::string::npos);
    waitUntil([&stays, &leaves] { return stays.addresses().find(leaves.member().m_callers.toString()) == std::string::npos; });

    agent.answer(asked.get_future().get(), responder);
    REQUIRE(running.get().isComplete());
    REQUIRE(drained.get());
}

TEST_CASE("a leaving entry names the others whatever it refuses a request for")
{
    // Guards against callers that return to an entry which has lost sight of the engines and is leaving.
    LeavingSite site;
    FakeAgent &agent = site.m_agent;
    TestEntry &stays = site.m_stays;
    TestEntry &leaves = site.m_leaves;
    waitUntil([&leaves] { return leaves.generate().isComplete(); });
    waitUntil([&leaves, &stays] { return leaves.addresses().find(stays.member().m_callers.toString()) != std::string::npos; });

    leaves.entry().startLeaving();
    agent.changeReport([](Protocol::AgentReport &report) { report.m_attestations.clear(); });
    HttpReply refused = leaves.generate();
    while (refused.m_status == 200) {
        refused = leaves.generate();
    }
    INFO("the refusal: " << refused.m_body);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(refused.m_body.find(stays.member().m_callers.toString()) != std::string::npos);
}
