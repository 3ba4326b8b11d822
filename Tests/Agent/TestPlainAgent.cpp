/// @file Tests of an agent with a plain service: calls that must not be repeated, such as a booking, under faults.

#include "AgentFixture.h"

namespace {

using AgentFixture::EntryClient;
using AgentFixture::waitUntil;
using Protocol::Outcome;

struct PlainFixture
{
    AgentFixture::HostedEndpoint<StandIn::PlainService> m_service{StandIn::ServiceSettings()};
    AgentFixture::Entry m_entry;
    const Core::Duration m_drainLimit;
    Endpoint::AgentSettings m_settings;
    std::unique_ptr<Endpoint::Agent> m_agent;
    std::unique_ptr<EntryClient> m_client;

    explicit PlainFixture(std::size_t threads = 64, std::size_t queue = 256, Core::Duration drainLimit = Core::Duration(600000))
        : m_drainLimit(drainLimit)
    {
        startAgent("life-1", threads, queue);
    }

    void startAgent(const std::string &incarnation, std::size_t threads, std::size_t queue)
    {
        m_client.reset();
        m_agent.reset();
        m_settings = AgentFixture::agentSettings(m_entry.m_address, m_entry.m_address, m_service.m_address, Endpoint::EndpointKind::Plain, incarnation);
        m_settings.m_relay.m_pool.m_maximumThreads = threads;
        m_settings.m_relay.m_pool.m_maximumQueue = queue;
        m_settings.m_workers.m_drainLimit = m_drainLimit;
        m_agent = std::make_unique<Endpoint::Agent>(m_settings);
        REQUIRE(m_agent->start());
        m_client = std::make_unique<EntryClient>(m_settings.m_instance.m_member.m_wire);
        waitUntil("the service to be healthy", [this] { return m_client->report().m_endpointHealthy; });
    }

    int liveCount(const std::string &count) const
    {
        const Poco::JSON::Object::Ptr dump = AgentFixture::request(m_settings.m_instance.m_member.m_admin, "GET", "/dump");
        return dump->getObject("live")->getValue<int>(count);
    }

    std::size_t effects() const
    {
        return AgentFixture::request(m_service.m_address, "GET", "/journal")->getArray("effects")->size();
    }
};

}

TEST_CASE("a booking gets its complete answer, which is stored so that the entry can request the outcome")
{
    PlainFixture fixture;
    const Protocol::LiveRequest request = AgentFixture::bookingRequest("b1", "key", "life-1");
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(request);
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    const Protocol::OutcomeAnswer outcome = fixture.m_client->outcome(request);
    REQUIRE(outcome.m_outcome == Outcome::Finished);
    REQUIRE(outcome.m_body == call->m_frames.front().m_data);
    REQUIRE(fixture.effects() == 1);
}

TEST_CASE("a booking that ran but whose answer was lost is unknown and does not run again")
{
    // The service has booked the crew, but its answer is lost. "Not run" would be false, and a retry would book a second crew.
    PlainFixture fixture;
    fixture.m_service.setFaults(R"({"lose_answers":true})");
    const Protocol::LiveRequest request = AgentFixture::bookingRequest("b1", "key", "life-1");
    REQUIRE(fixture.m_client->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::Ambiguous);
    fixture.m_service.setFaults(R"({"lose_answers":false})");
    REQUIRE(fixture.m_client->outcome(request).m_outcome == Outcome::Unknown);
    REQUIRE_FALSE(fixture.m_client->call(request)->waitForEnd().m_succeeded);
    REQUIRE(fixture.m_client->call(AgentFixture::bookingRequest("b2", "key", "life-1"))->waitForEnd().m_error.m_code == Core::ErrorCode::Conflict);
    REQUIRE(fixture.effects() == 1);
}

TEST_CASE("an attempt that is sent twice, or after its outcome was requested, takes effect at most once")
{
    PlainFixture fixture;
    const Protocol::LiveRequest twice = AgentFixture::bookingRequest("b1", "key-1", "life-1");
    REQUIRE(fixture.m_client->call(twice)->waitForEnd().m_succeeded);
    REQUIRE_FALSE(fixture.m_client->call(twice)->waitForEnd().m_succeeded);
    const Protocol::LiveRequest late = AgentFixture::bookingRequest("b2", "key-2", "life-1");
    REQUIRE(fixture.m_client->outcome(late).m_outcome == Outcome::NeverRan);
    REQUIRE(fixture.m_client->call(late)->waitForEnd().m_error.m_code == Core::ErrorCode::Cancelled);
    REQUIRE(fixture.effects() == 1);
}

TEST_CASE("a booking that is cancelled in the queue takes no effect and is reported as never run")
{
    // All threads are busy, and the call is cancelled while the booking is queued. The booking must not be made after that.
    PlainFixture fixture(1);
    fixture.m_service.setFaults(R"({"hang":true})");
    const Protocol::LiveRequest first = AgentFixture::bookingRequest("b1", "key-1", "life-1");
    const Protocol::LiveRequest second = AgentFixture::bookingRequest("b2", "key-2", "life-1");
    const std::shared_ptr<EntryClient::Call> running = fixture.m_client->call(first);
    waitUntil("the first to run", [&fixture, &first] { return fixture.m_client->outcome(first).m_outcome == Outcome::Running; });
    const std::shared_ptr<EntryClient::Call> waiting = fixture.m_client->call(second);
    waitUntil("the second to wait", [&fixture] { return fixture.liveCount("queued") == 1; });
    fixture.m_client->cancel(*waiting);
    waiting->waitForEnd();
    fixture.m_service.setFaults(R"({"hang":false})");
    REQUIRE(running->waitForEnd().m_succeeded);
    waitUntil("the second to be reported as never run", [&fixture, &second] { return fixture.m_client->outcome(second).m_outcome == Outcome::NeverRan; });
    REQUIRE(fixture.effects() == 1);
}

TEST_CASE("a booking is refused at once and reported as never run if the queue is full")
{
    PlainFixture fixture(1, 1);
    fixture.m_service.setFaults(R"({"hang":true})");
    const std::shared_ptr<EntryClient::Call> running = fixture.m_client->call(AgentFixture::bookingRequest("b1", "key-1", "life-1"));
    waitUntil("the first to run", [&fixture] { return fixture.liveCount("running") == 1; });
    const std::shared_ptr<EntryClient::Call> waiting = fixture.m_client->call(AgentFixture::bookingRequest("b2", "key-2", "life-1"));
    waitUntil("the second to wait", [&fixture] { return fixture.liveCount("queued") == 1; });
    const Protocol::LiveRequest third = AgentFixture::bookingRequest("b3", "key-3", "life-1");
    REQUIRE(fixture.m_client->call(third)->waitForEnd().m_error.m_code == Core::ErrorCode::Overloaded);
    REQUIRE(fixture.m_client->outcome(third).m_outcome == Outcome::NeverRan);
    fixture.m_service.setFaults(R"({"hang":false})");
    REQUIRE(running->waitForEnd().m_succeeded);
    REQUIRE(waiting->waitForEnd().m_succeeded);
    REQUIRE(fixture.effects() == 2);
}

TEST_CASE("a booking that waits when its agent reaches the drain limit is refused as not run")
{
    // Guards against bookings whose outcome is unknown to their callers although they never reached the service.
    PlainFixture fixture(1, 256, Core::Duration(500));
    fixture.m_service.setFaults(R"({"hang":true})");
    const Protocol::LiveRequest second = AgentFixture::bookingRequest("b2", "key-2", "life-1");
    const std::shared_ptr<EntryClient::Call> running = fixture.m_client->call(AgentFixture::bookingRequest("b1", "key-1", "life-1"));
    waitUntil("the first to run", [&fixture] { return fixture.liveCount("running") == 1; });
    const std::shared_ptr<EntryClient::Call> waiting = fixture.m_client->call(second);
    waitUntil("the second to wait", [&fixture] { return fixture.liveCount("queued") == 1; });
    fixture.m_agent->startLeaving();
    REQUIRE_FALSE(fixture.m_agent->awaitDrained());
    REQUIRE(fixture.m_client->outcome(second).m_outcome == Outcome::NeverRan);
    fixture.m_agent->stop();
    const Wire::CallEnd refused = waiting->waitForEnd();
    REQUIRE(refused.m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(refused.m_error.m_detail == "the agent ends; it did not run");
    REQUIRE_FALSE(running->waitForEnd().m_succeeded);
    fixture.m_service.setFaults(R"({"hang":false})");
}

TEST_CASE("a booking continues when its entry has disconnected, and its outcome can be requested")
{
    // The entry's call ends after the booking was sent to the service. The caller's retry goes through another entry, which requests the outcome.
    PlainFixture fixture;
    fixture.m_service.setFaults(R"({"slow_ms":100})");
    const Protocol::LiveRequest request = AgentFixture::bookingRequest("b1", "key", "life-1");
    const std::shared_ptr<EntryClient::Call> call = fixture.m_client->call(request);
    waitUntil("the booking to run at the service",
              [&fixture] { return AgentFixture::request(fixture.m_service.m_address, "GET", "/status")->getValue<int>("running") == 1; });
    fixture.m_client->cancel(*call);
    waitUntil("the booking to finish", [&fixture, &request] { return fixture.m_client->outcome(request).m_outcome == Outcome::Finished; });
    REQUIRE(fixture.effects() == 1);
}

TEST_CASE("a booking to an unreachable service is reported as never run")
{
    PlainFixture fixture;
    Endpoint::AgentSettings settings = AgentFixture::agentSettings(
        fixture.m_entry.m_address, fixture.m_entry.m_address, Network::freeLoopbackAddress(), Endpoint::EndpointKind::Plain, "life-3");
    Endpoint::Agent agent(settings);
    REQUIRE(agent.start());
    EntryClient client(settings.m_instance.m_member.m_wire);
    const Protocol::LiveRequest request = AgentFixture::bookingRequest("b1", "key", "life-3");
    REQUIRE(client.call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(client.outcome(request).m_outcome == Outcome::NeverRan);
    REQUIRE_FALSE(client.report().m_endpointHealthy);
}

TEST_CASE("after a restart the outcome of an earlier attempt is unknown, and its late arrival is refused")
{
    PlainFixture fixture;
    const Protocol::LiveRequest request = AgentFixture::bookingRequest("b1", "key", "life-1");
    REQUIRE(fixture.m_client->call(request)->waitForEnd().m_succeeded);
    fixture.startAgent("life-2", 64, 256);
    REQUIRE(fixture.m_client->outcome(request).m_outcome == Outcome::Unknown);
    REQUIRE(fixture.m_client->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(fixture.effects() == 1);
}

TEST_CASE("texts from callers cannot inject headers into requests to the service")
{
    PlainFixture fixture;
    Protocol::LiveRequest request = AgentFixture::bookingRequest("b1", "key\r\nOriolerail-Attempt: other", "life-1");
    REQUIRE(fixture.m_client->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::InvalidInput);
    request = AgentFixture::bookingRequest("b2", "key", "life-1");
    request.m_path = "/crews HTTP/1.1\r\nHost: other";
    REQUIRE(fixture.m_client->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::InvalidInput);
    REQUIRE(fixture.effects() == 0);
}
