/// @file An entry that leaves while callers still use its address.

#include "EntryCluster.h"

using namespace EntryTest;

namespace {

/// Two entries and one engine; the second entry leaves.
struct LeavingCluster
{
    FakePlatform m_platform;
    FakeAgent m_agent{"engine-1", ModelService};
    TestEntry m_stayingEntry;
    TestEntry m_leavingEntry;

    explicit LeavingCluster(const std::function<void(Entry::EntrySettings &)> &adjustLeavingEntry = {})
        : m_stayingEntry("entry-1", publishedPlatform(), {})
        , m_leavingEntry("entry-2", m_platform, {m_stayingEntry.member().m_wire}, adjustLeavingEntry)
    {
    }

    FakePlatform &publishedPlatform()
    {
        m_platform.publishTemplate();
        m_platform.registerAgent(m_agent.member());
        return m_platform;
    }
};

}

TEST_CASE("a leaving entry returns only other entries' addresses, accepts requests for one address lifetime, then only completes running ones")
{
    // An entry is restarted while callers still use its address and one of them is receiving a long answer.
    LeavingCluster cluster;
    FakeAgent &agent = cluster.m_agent;
    TestEntry &stayingEntry = cluster.m_stayingEntry;
    TestEntry &leavingEntry = cluster.m_leavingEntry;
    waitUntil([&stayingEntry, &leavingEntry] { return stayingEntry.hasAvailableEndpoints(1) && leavingEntry.hasAvailableEndpoints(1); });
    waitUntil([&leavingEntry, &stayingEntry] { return leavingEntry.addresses().find(stayingEntry.member().m_callers.toString()) != std::string::npos; });

    std::promise<Wire::Responder> started;
    std::promise<Protocol::LiveRequest> receivedRequest;
    agent.setBehavior([&started, &receivedRequest](FakeAgent &, const Protocol::LiveRequest &request, const Wire::Responder &responder) {
        receivedRequest.set_value(request);
        started.set_value(responder);
    });
    std::future<HttpReply> running = std::async(std::launch::async, [&leavingEntry] { return leavingEntry.generate(); });
    const Wire::Responder responder = started.get_future().get();
    agent.setBehavior([](FakeAgent &self, const Protocol::LiveRequest &request, const Wire::Responder &answer) { self.answer(request, answer); });

    leavingEntry.entry().startLeaving();
    REQUIRE(leavingEntry.addresses().find(leavingEntry.member().m_callers.toString()) == std::string::npos);
    REQUIRE_FALSE(send(leavingEntry.member().m_callers, "GET", "/v1/addresses", "").m_keepsConnection);
    REQUIRE(send(stayingEntry.member().m_callers, "GET", "/v1/addresses", "").m_keepsConnection);
    REQUIRE(leavingEntry.generate().isComplete());
    std::future<bool> drained = std::async(std::launch::async, [&leavingEntry] { return leavingEntry.entry().awaitDrained(); });
    HttpReply refused = leavingEntry.generate();
    while (refused.m_status == 200) {
        refused = leavingEntry.generate();
    }
    INFO("refusal: " << refused.m_body);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(refused.m_body.find(stayingEntry.member().m_callers.toString()) != std::string::npos);
    waitUntil([&stayingEntry, &leavingEntry] { return stayingEntry.addresses().find(leavingEntry.member().m_callers.toString()) == std::string::npos; });

    agent.answer(receivedRequest.get_future().get(), responder);
    REQUIRE(running.get().isComplete());
    REQUIRE(drained.get());
}

TEST_CASE("a leaving entry returns other entries' addresses with every refusal, whatever its reason")
{
    // Guards against callers that return to a leaving entry that has no available engines any more.
    LeavingCluster cluster;
    FakeAgent &agent = cluster.m_agent;
    TestEntry &stayingEntry = cluster.m_stayingEntry;
    TestEntry &leavingEntry = cluster.m_leavingEntry;
    waitUntil([&leavingEntry] { return leavingEntry.generate().isComplete(); });
    waitUntil([&leavingEntry, &stayingEntry] { return leavingEntry.addresses().find(stayingEntry.member().m_callers.toString()) != std::string::npos; });

    leavingEntry.entry().startLeaving();
    agent.changeReport([](Protocol::AgentReport &report) { report.m_attestations.clear(); });
    HttpReply refused = leavingEntry.generate();
    while (refused.m_status == 200) {
        refused = leavingEntry.generate();
    }
    INFO("refusal: " << refused.m_body);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(refused.m_body.find(stayingEntry.member().m_callers.toString()) != std::string::npos);
}

TEST_CASE("a leaving entry refuses requests whose time limits lie beyond its drain limit")
{
    // Guards against requests that a leaving entry takes and that are cut when the platform ends it.
    LeavingCluster cluster([](Entry::EntrySettings &settings) { settings.m_drainLimit = Core::Duration(60000); });
    TestEntry &stayingEntry = cluster.m_stayingEntry;
    TestEntry &leavingEntry = cluster.m_leavingEntry;
    waitUntil([&leavingEntry] { return leavingEntry.generate().isComplete(); });
    waitUntil([&leavingEntry, &stayingEntry] { return leavingEntry.addresses().find(stayingEntry.member().m_callers.toString()) != std::string::npos; });
    REQUIRE(leavingEntry.generate({{"Oriolerail-Timeout-Ms", "120000"}}).isComplete());

    leavingEntry.entry().startLeaving();
    const HttpReply refused = leavingEntry.generate({{"Oriolerail-Timeout-Ms", "120000"}});
    INFO("refusal: " << refused.m_body);
    REQUIRE(refused.m_status == 503);
    REQUIRE(refused.code() == "not-run");
    REQUIRE(refused.m_body.find(stayingEntry.member().m_callers.toString()) != std::string::npos);
    REQUIRE_FALSE(refused.m_keepsConnection);
    REQUIRE(leavingEntry.generate({{"Oriolerail-Timeout-Ms", "10000"}}).isComplete());
}
