/// @file Tests of an agent with a model engine: from a plan to attested weights, and answers under faults.

#include "AgentFixture.h"
#include "BlackholeProxy.h"

namespace {

using AgentFixture::EntryClient;
using AgentFixture::Version;
using AgentFixture::waitUntil;

/// Token count of an answer that takes much longer than an agent needs to stop.
constexpr int LongDraftTokens = 3000;

StandIn::EngineSettings engineSettings()
{
    StandIn::EngineSettings settings;
    settings.m_firstTokenMs = 1;
    settings.m_tokenMs = 1;
    settings.m_reportLag = Core::Duration(0);
    return settings;
}

/// An agent with a model engine, an origin with two versions, an entry and a client.
struct ModelFixture
{
    Version m_old = AgentFixture::makeVersion("6", 20'000);
    Version m_new = AgentFixture::makeVersion("7", 30'000);
    AgentFixture::Origin m_origin{{m_old, m_new}};
    AgentFixture::HostedEndpoint<StandIn::Engine> m_engine{engineSettings()};
    AgentFixture::Entry m_entry;
    Endpoint::AgentSettings m_settings;
    std::unique_ptr<Endpoint::Agent> m_agent;
    std::unique_ptr<EntryClient> m_client;

    ModelFixture()
    {
        startAgent("life-1");
    }

    void startAgent(const std::string &incarnation)
    {
        m_client.reset();
        m_agent.reset();
        m_settings = AgentFixture::agentSettings(m_entry.m_address, m_origin.m_address, m_engine.m_address, Endpoint::EndpointKind::Model, incarnation);
        m_agent = std::make_unique<Endpoint::Agent>(m_settings);
        REQUIRE(m_agent->start());
        m_client = std::make_unique<EntryClient>(m_settings.m_instance.m_member.m_wire);
    }

    void serve(const Version &version)
    {
        m_entry.publishPlan({version});
        waitUntil("the version to be attested", [this, &version] { return m_client->isAttested(version); });
    }

    std::size_t loadedModels() const
    {
        return AgentFixture::request(m_engine.m_address, "GET", "/status")->getArray("models")->size();
    }

    int runningCalls() const
    {
        const Poco::JSON::Object::Ptr dump = AgentFixture::request(m_settings.m_instance.m_member.m_admin, "GET", "/dump");
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

TEST_CASE("a plan leads to attested weights and complete answers, and the next plan replaces the version")
{
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 5));
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    REQUIRE(call->m_frames.size() == 6);
    std::string text;
    for (std::size_t index = 0; index < call->m_frames.size(); ++index) {
        const Protocol::AnswerFrame &frame = call->m_frames.at(index);
        REQUIRE(frame.m_number == index);
        REQUIRE(frame.m_attempt == "a1");
        REQUIRE(frame.m_version == fixture.m_old.m_digest);
        text += frame.m_data;
    }
    REQUIRE(call->m_frames.back().m_totalBytes == text.size());
    REQUIRE(call->m_frames.back().m_totalDigest == Core::sha256Hex(text));

    fixture.serve(fixture.m_new);
    waitUntil("the old version to be unloaded", [&fixture] { return fixture.loadedModels() == 1; });
    REQUIRE_FALSE(fixture.m_client->isAttested(fixture.m_old));
    REQUIRE(fixture.m_client->call(AgentFixture::draftRequest("a2", fixture.m_old, 5))->waitForEnd().m_error.m_code == Core::ErrorCode::NotFound);
    REQUIRE(fixture.m_client->call(AgentFixture::draftRequest("a3", fixture.m_new, 5))->waitForEnd().m_succeeded);
}

TEST_CASE("weights that are still being transferred are neither loaded nor attested")
{
    // The origin stalls in the middle of a version. If the engine loaded the part held so far, callers would get answers generated with partial weights.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    fixture.m_origin.m_withheldFrom = 10'000;
    fixture.m_entry.publishPlan({fixture.m_new});
    waitUntil("some chunks of the new version to arrive", [&fixture] {
        for (const Protocol::TransferProgress &progress : fixture.m_client->report().m_transfers) {
            if (progress.m_digest == fixture.m_new.m_digest && progress.m_chunksHeld > 0) {
                return true;
            }
        }
        return false;
    });
    REQUIRE_FALSE(fixture.m_client->isAttested(fixture.m_new));
    REQUIRE(fixture.m_client->isAttested(fixture.m_old));
    REQUIRE(fixture.loadedModels() == 1);
    fixture.m_origin.m_withheldFrom = SIZE_MAX;
    waitUntil("the new version to be attested", [&fixture] { return fixture.m_client->isAttested(fixture.m_new); });
}

TEST_CASE("weights whose load failed because the engine crashed are not attested and are loaded again")
{
    // The engine loses its weights in the middle of a load. If the agent attested weights because it had ordered them, calls would go to an empty engine.
    ModelFixture fixture;
    fixture.m_engine.setFaults(R"({"die_while_loading":true})");
    fixture.m_entry.publishPlan({fixture.m_old});
    waitUntil("an order to fail", [&fixture] { return fixture.metrics().find("orders_total{end=\"failed\"} 0") == std::string::npos; });
    REQUIRE_FALSE(fixture.m_client->isAttested(fixture.m_old));
    fixture.m_engine.setFaults(R"({"die_while_loading":false})");
    waitUntil("the version to be attested", [&fixture] { return fixture.m_client->isAttested(fixture.m_old); });
}

TEST_CASE("if the engine reports another version than requested, nothing is delivered and the version is no longer attested")
{
    // An engine uses the wrong weights. Only the version that it reports shows this; the answers themselves look normal.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    const std::shared_ptr<EntryClient::Call> before = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 3));
    REQUIRE(before->waitForEnd().m_succeeded);
    fixture.m_engine.setFaults(R"({"misreport_digest":")" + std::string(64, '0') + R"("})");
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a2", fixture.m_old, 3));
    const Wire::CallEnd end = call->waitForEnd();
    REQUIRE_FALSE(end.m_succeeded);
    REQUIRE(call->frameCount() == 0);
    waitUntil("the attestation to be withdrawn", [&fixture] { return !fixture.m_client->isAttested(fixture.m_old); });
}

TEST_CASE("an answer that the engine cuts off is not complete")
{
    // The engine's connection breaks in the middle of an answer. The caller must not take the first half for the complete answer.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    fixture.m_engine.setFaults(R"({"cut_answers_after_tokens":2})");
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 5));
    REQUIRE(call->waitForEnd().m_error.m_code == Core::ErrorCode::Ambiguous);
    REQUIRE_FALSE(call->isComplete());
}

TEST_CASE("the engine stops generating a cancelled answer")
{
    // The caller no longer wants the answer. If the engine continued it, other requests would be slower.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 100'000));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    fixture.m_client->cancel(*call);
    waitUntil("the engine to stop", [&fixture] {
        const Poco::JSON::Array::Ptr ran = AgentFixture::request(fixture.m_engine.m_address, "GET", "/journal")->getArray("ran");
        return ran->size() == 1 && !ran->getObject(0)->getValue<bool>("completed");
    });
}

TEST_CASE("a cancelled call to a hanging engine frees its slot, and the engine counts as unhealthy")
{
    // The engine stops answering. Calls that waited for it without limit would occupy all slots.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    fixture.m_engine.setFaults(R"({"hang":true})");
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 5));
    waitUntil("the call to run", [&fixture] { return fixture.runningCalls() == 1; });
    fixture.m_client->cancel(*call);
    waitUntil("the slot to be free", [&fixture] { return fixture.runningCalls() == 0; });
    waitUntil("the engine to be unhealthy", [&fixture] { return !fixture.m_client->report().m_endpointHealthy; });
}

TEST_CASE("a call to a hanging engine ends at its deadline")
{
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    fixture.m_engine.setFaults(R"({"hang":true})");
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 5), Core::Duration(300));
    REQUIRE_FALSE(call->waitForEnd().m_succeeded);
    waitUntil("the slot to be free", [&fixture] { return fixture.runningCalls() == 0; });
}

TEST_CASE("a leaving agent reports that it is leaving, refuses new calls and finishes the running one")
{
    // The instance is replaced in the middle of an answer. Aborting the answer would lose all of it.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, LongDraftTokens));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    fixture.m_agent->startLeaving();
    waitUntil("the leaving report", [&fixture] { return fixture.m_client->report().m_member.m_leaving; });
    const Wire::CallEnd refused = fixture.m_client->call(AgentFixture::draftRequest("a2", fixture.m_old, 5))->waitForEnd();
    REQUIRE(refused.m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(refused.m_error.m_detail == "leaving");
    REQUIRE(fixture.m_agent->awaitDrained());
    fixture.m_agent->stop();
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    REQUIRE(call->frameCount() == LongDraftTokens + 1);
}

TEST_CASE("a restarted agent attests what its engine serves once it has the manifest, and does not load it again")
{
    // The agent is replaced while the engine keeps serving. If the agent first fetched all weights again, the instance would be idle meanwhile.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    fixture.m_origin.m_withheldFrom = 0;
    fixture.startAgent("life-2");
    waitUntil("the version to be attested again", [&fixture] { return fixture.m_client->isAttested(fixture.m_old); });
    REQUIRE(fixture.m_client->call(AgentFixture::draftRequest("a1", fixture.m_old, 5))->waitForEnd().m_succeeded);
    REQUIRE(fixture.metrics().find("orders_total{end=\"done\"} 0") != std::string::npos);
    REQUIRE(fixture.loadedModels() == 1);
}

TEST_CASE("the engine stops generating an answer if the agent's connection to the entry is lost without being closed")
{
    // The network drops all traffic between entry and agent while both sockets stay open. An agent that only waited for its socket to close
    // would keep the engine busy with an answer that nobody receives.
    ModelFixture fixture;
    fixture.serve(fixture.m_old);
    AgentFixture::BlackholeProxy proxy(fixture.m_settings.m_instance.m_member.m_wire);
    EntryClient remoteClient(proxy.address());
    const std::shared_ptr<EntryClient::Call> call = remoteClient.call(AgentFixture::draftRequest("a1", fixture.m_old, 100'000), Core::Duration(0));
    waitUntil("the first tokens", [&call] { return call->frameCount() > 2; });
    proxy.m_dropsBytes = true;
    waitUntil("the engine to stop", [&fixture] {
        const Poco::JSON::Array::Ptr ran = AgentFixture::request(fixture.m_engine.m_address, "GET", "/journal")->getArray("ran");
        return ran->size() == 1 && !ran->getObject(0)->getValue<bool>("completed");
    });
    REQUIRE_FALSE(call->isComplete());
}
