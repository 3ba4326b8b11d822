/// @file An agent beside a model engine: from a plan to attested weights, and answers under faults.

#include "AgentFixture.h"
#include "BlackholeProxy.h"

namespace {

using Rig::EntryClient;
using Rig::Version;
using Rig::waitUntil;

/// Tokens of a draft that takes much longer than an agent needs to stop.
constexpr int LongDraft = 3000;

StandIn::EngineSettings engineSettings()
{
    StandIn::EngineSettings settings;
    settings.m_firstTokenMs = 1;
    settings.m_tokenMs = 1;
    settings.m_reportLag = Core::Duration(0);
    return settings;
}

/// Everything around one agent beside a model engine.
struct ModelRig
{
    Version m_old = Rig::makeVersion("6", 20'000);
    Version m_new = Rig::makeVersion("7", 30'000);
    Rig::Origin m_origin{{m_old, m_new}};
    Rig::HostedEndpoint<StandIn::Engine> m_engine{engineSettings()};
    Rig::Entry m_entry;
    Endpoint::AgentSettings m_settings;
    std::unique_ptr<Endpoint::Agent> m_agent;
    std::unique_ptr<EntryClient> m_caller;

    ModelRig()
    {
        startAgent("life-1");
    }

    void startAgent(const std::string &incarnation)
    {
        m_caller.reset();
        m_agent.reset();
        m_settings = Rig::agentSettings(m_entry.m_address, m_origin.m_address, m_engine.m_address, Endpoint::EndpointKind::Model, incarnation);
        m_agent = std::make_unique<Endpoint::Agent>(m_settings);
        REQUIRE(m_agent->start());
        m_caller = std::make_unique<EntryClient>(m_settings.m_instance.m_member.m_wire);
    }

    void serve(const Version &version)
    {
        m_entry.publishPlan({version});
        waitUntil("the version to be attested", [this, &version] { return m_caller->isAttested(version); });
    }

    std::size_t loadedModels() const
    {
        return Rig::request(m_engine.m_address, "GET", "/status")->getArray("models")->size();
    }

    int runningCalls() const
    {
        const Poco::JSON::Object::Ptr dump = Rig::request(m_settings.m_instance.m_member.m_admin, "GET", "/dump");
        return dump->getObject("live")->getValue<int>("running");
    }

    std::string metrics() const
    {
        Poco::Net::HTTPClientSession session(m_settings.m_instance.m_member.m_admin.m_host, m_settings.m_instance.m_member.m_admin.m_port);
        Poco::Net::HTTPRequest head("GET", "/metrics");
        session.sendRequest(head);
        Poco::Net::HTTPResponse response;
        std::istream &stream = session.receiveResponse(response);
        return std::string(std::istreambuf_iterator<char>(stream), {});
    }
};

}

TEST_CASE("a plan leads to attested weights, whole answers and, after the next plan, to the new version alone")
{
    ModelRig rig;
    rig.serve(rig.m_old);
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 5));
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    REQUIRE(call->m_frames.size() == 6);
    std::string text;
    for (std::size_t index = 0; index < call->m_frames.size(); ++index) {
        const Protocol::AnswerFrame &frame = call->m_frames.at(index);
        REQUIRE(frame.m_number == index);
        REQUIRE(frame.m_attempt == "a1");
        REQUIRE(frame.m_version == rig.m_old.m_digest);
        text += frame.m_data;
    }
    REQUIRE(call->m_frames.back().m_totalBytes == text.size());
    REQUIRE(call->m_frames.back().m_totalDigest == Core::sha256Hex(text));

    rig.serve(rig.m_new);
    waitUntil("the old version to go", [&rig] { return rig.loadedModels() == 1; });
    REQUIRE_FALSE(rig.m_caller->isAttested(rig.m_old));
    REQUIRE(rig.m_caller->call(Rig::draftRequest("a2", rig.m_old, 5))->waitForEnd().m_error.m_code == Core::ErrorCode::NotFound);
    REQUIRE(rig.m_caller->call(Rig::draftRequest("a3", rig.m_new, 5))->waitForEnd().m_succeeded);
}

TEST_CASE("weights that are still on their way are neither ordered nor attested")
{
    // The origin stalls in the middle of a version. If the engine got what there is, buyers would read drafts of half a model.
    ModelRig rig;
    rig.serve(rig.m_old);
    rig.m_origin.m_withheldFrom = 10'000;
    rig.m_entry.publishPlan({rig.m_new});
    waitUntil("some chunks of the new version", [&rig] {
        for (const Protocol::TransferProgress &progress : rig.m_caller->report().m_transfers) {
            if (progress.m_digest == rig.m_new.m_digest && progress.m_chunksHeld > 0) {
                return true;
            }
        }
        return false;
    });
    REQUIRE_FALSE(rig.m_caller->isAttested(rig.m_new));
    REQUIRE(rig.m_caller->isAttested(rig.m_old));
    REQUIRE(rig.loadedModels() == 1);
    rig.m_origin.m_withheldFrom = SIZE_MAX;
    waitUntil("the new version", [&rig] { return rig.m_caller->isAttested(rig.m_new); });
}

TEST_CASE("an engine that dies while it loads is not attested, and is ordered again")
{
    // The engine loses everything in the middle of a load. An agent that trusted its own order would send buyers to an empty engine.
    ModelRig rig;
    rig.m_engine.setFaults(R"({"die_while_loading":true})");
    rig.m_entry.publishPlan({rig.m_old});
    waitUntil("a failed order", [&rig] { return rig.metrics().find("orders_total{end=\"failed\"} 0") == std::string::npos; });
    REQUIRE_FALSE(rig.m_caller->isAttested(rig.m_old));
    rig.m_engine.setFaults(R"({"die_while_loading":false})");
    waitUntil("the version", [&rig] { return rig.m_caller->isAttested(rig.m_old); });
}

TEST_CASE("an engine that names another version than asked delivers nothing, and is no longer attested")
{
    // An engine mixes up its weights. Its answers look like any other; only the version that it names tells them apart.
    ModelRig rig;
    rig.serve(rig.m_old);
    const std::shared_ptr<EntryClient::Call> before = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 3));
    REQUIRE(before->waitForEnd().m_succeeded);
    rig.m_engine.setFaults(R"({"misreport_digest":")" + std::string(64, '0') + R"("})");
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a2", rig.m_old, 3));
    const Wire::CallEnd end = call->waitForEnd();
    REQUIRE_FALSE(end.m_succeeded);
    REQUIRE(call->frameCount() == 0);
    waitUntil("the attestation to go", [&rig] { return !rig.m_caller->isAttested(rig.m_old); });
}

TEST_CASE("an answer that the engine cuts is not whole")
{
    // The engine's connection breaks in the middle of a draft. The buyer must not take the half for the whole.
    ModelRig rig;
    rig.serve(rig.m_old);
    rig.m_engine.setFaults(R"({"cut_answers_after_tokens":2})");
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 5));
    REQUIRE(call->waitForEnd().m_error.m_code == Core::ErrorCode::Ambiguous);
    REQUIRE_FALSE(call->isComplete());
}

TEST_CASE("a cancelled draft stops at the engine")
{
    // The buyer closes the page. An engine that goes on drafting for nobody is slow for everybody else.
    ModelRig rig;
    rig.serve(rig.m_old);
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 100'000));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    rig.m_caller->cancel(*call);
    waitUntil("the engine to stop", [&rig] {
        const Poco::JSON::Array::Ptr ran = Rig::request(rig.m_engine.m_address, "GET", "/journal")->getArray("ran");
        return ran->size() == 1 && !ran->getObject(0)->getValue<bool>("completed");
    });
}

TEST_CASE("a call to a hanging engine frees its place when its entry gives up, and the engine counts as unhealthy")
{
    // The engine stops answering in the middle of everything. Calls that waited for it for good would take all places.
    ModelRig rig;
    rig.serve(rig.m_old);
    rig.m_engine.setFaults(R"({"hang":true})");
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 5));
    waitUntil("the call to run", [&rig] { return rig.runningCalls() == 1; });
    rig.m_caller->cancel(*call);
    waitUntil("the place to be free", [&rig] { return rig.runningCalls() == 0; });
    waitUntil("the engine to be unhealthy", [&rig] { return !rig.m_caller->report().m_endpointHealthy; });
}

TEST_CASE("a call to a hanging engine ends at its deadline")
{
    ModelRig rig;
    rig.serve(rig.m_old);
    rig.m_engine.setFaults(R"({"hang":true})");
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 5), Core::Duration(300));
    REQUIRE_FALSE(call->waitForEnd().m_succeeded);
    waitUntil("the place to be free", [&rig] { return rig.runningCalls() == 0; });
}

TEST_CASE("a leaving agent says so, refuses new calls and finishes the running one")
{
    // The instance is replaced in the middle of a draft. Cutting it off would cost the analyst the whole draft.
    ModelRig rig;
    rig.serve(rig.m_old);
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, LongDraft));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    rig.m_agent->startLeaving();
    waitUntil("the notice", [&rig] { return rig.m_caller->report().m_member.m_leaving; });
    const Wire::CallEnd refused = rig.m_caller->call(Rig::draftRequest("a2", rig.m_old, 5))->waitForEnd();
    REQUIRE(refused.m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(refused.m_error.m_detail == "leaving");
    REQUIRE(rig.m_agent->awaitDrained());
    rig.m_agent->stop();
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    REQUIRE(call->frameCount() == LongDraft + 1);
}

TEST_CASE("a restarted agent attests what its engine serves as soon as it has the manifest, and does not load it again")
{
    // The agent is replaced while the engine goes on serving. Until every byte of the weights is fetched again the instance would be idle.
    ModelRig rig;
    rig.serve(rig.m_old);
    rig.m_origin.m_withheldFrom = 0;
    rig.startAgent("life-2");
    waitUntil("the version to be attested anew", [&rig] { return rig.m_caller->isAttested(rig.m_old); });
    REQUIRE(rig.m_caller->call(Rig::draftRequest("a1", rig.m_old, 5))->waitForEnd().m_succeeded);
    REQUIRE(rig.metrics().find("orders_total{end=\"done\"} 0") != std::string::npos);
    REQUIRE(rig.loadedModels() == 1);
}

TEST_CASE("a draft whose entry has gone silent stops at the engine")
{
    // Something between entry and agent has lost track of their connection: both sockets stay open and nothing arrives any more.
    // An agent that trusted its socket would keep the engine drafting for nobody.
    ModelRig rig;
    rig.serve(rig.m_old);
    Rig::BlackholeProxy relay(rig.m_settings.m_instance.m_member.m_wire);
    EntryClient far(relay.address());
    const std::shared_ptr<EntryClient::Call> call = far.call(Rig::draftRequest("a1", rig.m_old, 100'000), Core::Duration(0));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    relay.m_dropsBytes = true;
    waitUntil("the engine to stop", [&rig] {
        const Poco::JSON::Array::Ptr ran = Rig::request(rig.m_engine.m_address, "GET", "/journal")->getArray("ran");
        return ran->size() == 1 && !ran->getObject(0)->getValue<bool>("completed");
    });
    REQUIRE_FALSE(call->isComplete());
}
