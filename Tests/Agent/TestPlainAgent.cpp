/// @file An agent beside a plain service: calls that may not be repeated, under faults.

#include "AgentFixture.h"

namespace {

using Protocol::Outcome;
using Rig::EntryClient;
using Rig::waitUntil;

struct PlainRig
{
    Rig::HostedEndpoint<StandIn::PlainService> m_service{StandIn::ServiceSettings()};
    Rig::Entry m_entry;
    Endpoint::AgentSettings m_settings;
    std::unique_ptr<Endpoint::Agent> m_agent;
    std::unique_ptr<EntryClient> m_caller;

    explicit PlainRig(std::size_t threads = 64, std::size_t queue = 256)
    {
        startAgent("life-1", threads, queue);
    }

    void startAgent(const std::string &incarnation, std::size_t threads, std::size_t queue)
    {
        m_caller.reset();
        m_agent.reset();
        m_settings = Rig::agentSettings(m_entry.m_address, m_entry.m_address, m_service.m_address, Endpoint::EndpointKind::Plain, incarnation);
        m_settings.m_relay.m_pool.m_maximumThreads = threads;
        m_settings.m_relay.m_pool.m_maximumQueue = queue;
        m_agent = std::make_unique<Endpoint::Agent>(m_settings);
        REQUIRE(m_agent->start());
        m_caller = std::make_unique<EntryClient>(m_settings.m_instance.m_member.m_wire);
        waitUntil("the service to be healthy", [this] { return m_caller->report().m_endpointHealthy; });
    }

    int live(const std::string &count) const
    {
        const Poco::JSON::Object::Ptr dump = Rig::request(m_settings.m_instance.m_member.m_admin, "GET", "/dump");
        return dump->getObject("live")->getValue<int>(count);
    }

    std::size_t effects() const
    {
        return Rig::request(m_service.m_address, "GET", "/journal")->getArray("effects")->size();
    }
};

}

TEST_CASE("a booking is answered whole, and its answer is kept for the entry's question")
{
    PlainRig rig;
    const Protocol::LiveRequest request = Rig::bookingRequest("b1", "key", "life-1");
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(request);
    REQUIRE(call->waitForEnd().m_succeeded);
    REQUIRE(call->isComplete());
    const Protocol::OutcomeAnswer outcome = rig.m_caller->outcome(request);
    REQUIRE(outcome.m_outcome == Outcome::Finished);
    REQUIRE(outcome.m_body == call->m_frames.front().m_data);
    REQUIRE(rig.effects() == 1);
}

TEST_CASE("a booking whose answer is lost after its effect is unknown and not repeated")
{
    // The service has booked the crew, and its answer is lost. "Not run" would be a lie, and a second try a second crew.
    PlainRig rig;
    rig.m_service.setFaults(R"({"lose_answers":true})");
    const Protocol::LiveRequest request = Rig::bookingRequest("b1", "key", "life-1");
    REQUIRE(rig.m_caller->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::Ambiguous);
    rig.m_service.setFaults(R"({"lose_answers":false})");
    REQUIRE(rig.m_caller->outcome(request).m_outcome == Outcome::Unknown);
    REQUIRE_FALSE(rig.m_caller->call(request)->waitForEnd().m_succeeded);
    REQUIRE(rig.m_caller->call(Rig::bookingRequest("b2", "key", "life-1"))->waitForEnd().m_error.m_code == Core::ErrorCode::Conflict);
    REQUIRE(rig.effects() == 1);
}

TEST_CASE("the same attempt sent twice, or after a question about it, has one effect at most")
{
    PlainRig rig;
    const Protocol::LiveRequest twice = Rig::bookingRequest("b1", "key-1", "life-1");
    REQUIRE(rig.m_caller->call(twice)->waitForEnd().m_succeeded);
    REQUIRE_FALSE(rig.m_caller->call(twice)->waitForEnd().m_succeeded);
    const Protocol::LiveRequest late = Rig::bookingRequest("b2", "key-2", "life-1");
    REQUIRE(rig.m_caller->outcome(late).m_outcome == Outcome::NeverRan);
    REQUIRE(rig.m_caller->call(late)->waitForEnd().m_error.m_code == Core::ErrorCode::Cancelled);
    REQUIRE(rig.effects() == 1);
}

TEST_CASE("a booking that is cancelled in the queue has no effect and is reported as never run")
{
    // All places are taken; the caller gives up while the booking waits. It must not be made after that.
    PlainRig rig(1);
    rig.m_service.setFaults(R"({"hang":true})");
    const Protocol::LiveRequest first = Rig::bookingRequest("b1", "key-1", "life-1");
    const Protocol::LiveRequest second = Rig::bookingRequest("b2", "key-2", "life-1");
    const std::shared_ptr<EntryClient::Call> running = rig.m_caller->call(first);
    waitUntil("the first to run", [&rig, &first] { return rig.m_caller->outcome(first).m_outcome == Outcome::Running; });
    const std::shared_ptr<EntryClient::Call> waiting = rig.m_caller->call(second);
    waitUntil("the second to wait", [&rig] { return rig.live("queued") == 1; });
    rig.m_caller->cancel(*waiting);
    waiting->waitForEnd();
    rig.m_service.setFaults(R"({"hang":false})");
    REQUIRE(running->waitForEnd().m_succeeded);
    waitUntil("the second to be settled", [&rig, &second] { return rig.m_caller->outcome(second).m_outcome == Outcome::NeverRan; });
    REQUIRE(rig.effects() == 1);
}

TEST_CASE("a booking that finds the queue full is refused at once as not run")
{
    PlainRig rig(1, 1);
    rig.m_service.setFaults(R"({"hang":true})");
    const std::shared_ptr<EntryClient::Call> running = rig.m_caller->call(Rig::bookingRequest("b1", "key-1", "life-1"));
    waitUntil("the first to run", [&rig] { return rig.live("running") == 1; });
    const std::shared_ptr<EntryClient::Call> waiting = rig.m_caller->call(Rig::bookingRequest("b2", "key-2", "life-1"));
    waitUntil("the second to wait", [&rig] { return rig.live("queued") == 1; });
    const Protocol::LiveRequest third = Rig::bookingRequest("b3", "key-3", "life-1");
    REQUIRE(rig.m_caller->call(third)->waitForEnd().m_error.m_code == Core::ErrorCode::Overloaded);
    REQUIRE(rig.m_caller->outcome(third).m_outcome == Outcome::NeverRan);
    rig.m_service.setFaults(R"({"hang":false})");
    REQUIRE(running->waitForEnd().m_succeeded);
    REQUIRE(waiting->waitForEnd().m_succeeded);
    REQUIRE(rig.effects() == 2);
}

TEST_CASE("a booking goes on when its entry goes away, and its outcome can be asked for")
{
    // The entry's connection breaks after the booking was handed over. Its caller's retry comes through another entry, which asks.
    PlainRig rig;
    rig.m_service.setFaults(R"({"slow_ms":100})");
    const Protocol::LiveRequest request = Rig::bookingRequest("b1", "key", "life-1");
    const std::shared_ptr<EntryClient::Call> call = rig.m_caller->call(request);
    waitUntil("it to be at the service", [&rig] { return Rig::request(rig.m_service.m_address, "GET", "/status")->getValue<int>("running") == 1; });
    rig.m_caller->cancel(*call);
    waitUntil("it to finish", [&rig, &request] { return rig.m_caller->outcome(request).m_outcome == Outcome::Finished; });
    REQUIRE(rig.effects() == 1);
}

TEST_CASE("a service that cannot be reached is reported as never run")
{
    PlainRig rig;
    Endpoint::AgentSettings settings =
        Rig::agentSettings(rig.m_entry.m_address, rig.m_entry.m_address, Network::freeLoopbackAddress(), Endpoint::EndpointKind::Plain, "life-3");
    Endpoint::Agent agent(settings);
    REQUIRE(agent.start());
    EntryClient caller(settings.m_instance.m_member.m_wire);
    const Protocol::LiveRequest request = Rig::bookingRequest("b1", "key", "life-3");
    REQUIRE(caller.call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(caller.outcome(request).m_outcome == Outcome::NeverRan);
    REQUIRE_FALSE(caller.report().m_endpointHealthy);
}

TEST_CASE("after a restart the outcome of an earlier attempt is unknown, and its late arrival is refused")
{
    PlainRig rig;
    const Protocol::LiveRequest request = Rig::bookingRequest("b1", "key", "life-1");
    REQUIRE(rig.m_caller->call(request)->waitForEnd().m_succeeded);
    rig.startAgent("life-2", 64, 256);
    REQUIRE(rig.m_caller->outcome(request).m_outcome == Outcome::Unknown);
    REQUIRE(rig.m_caller->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::Unavailable);
    REQUIRE(rig.effects() == 1);
}

TEST_CASE("texts from outside cannot smuggle headers to the service")
{
    PlainRig rig;
    Protocol::LiveRequest request = Rig::bookingRequest("b1", "key\r\nOriolerail-Attempt: other", "life-1");
    REQUIRE(rig.m_caller->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::InvalidInput);
    request = Rig::bookingRequest("b2", "key", "life-1");
    request.m_path = "/crews HTTP/1.1\r\nHost: other";
    REQUIRE(rig.m_caller->call(request)->waitForEnd().m_error.m_code == Core::ErrorCode::InvalidInput);
    REQUIRE(rig.effects() == 0);
}
