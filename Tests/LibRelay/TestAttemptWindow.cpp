/// @file Tests that no attempt begins which would come too late for the caller of a stream, alone and with scripted endpoints.

#include "../Support/RelayFixture.h"
#include "LibRelay/AttemptWindow.h"

using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;

namespace {

constexpr Core::Duration Goal{400};
constexpr Core::Duration GapGoal{300};
constexpr Core::Duration Timeout{6000};

Relay::CallerWait waitingFor(Core::Duration silence)
{
    return Relay::CallerWait{true, Goal, GapGoal, Timeout - silence, silence};
}

void configureStreams(RelayFixture &fixture)
{
    fixture.configure();
    Fleet::Declarations declarations;
    declarations.m_end = 2;
    declarations.m_configurationOffset = 1;
    declarations.m_configuration = fixture.m_fleetState.configuration()->configuration();
    for (Fleet::Route &route : declarations.m_configuration->m_routes) {
        route.m_goalMilliseconds = static_cast<std::uint32_t>(Goal.count());
        route.m_gapGoalMilliseconds = static_cast<std::uint32_t>(GapGoal.count());
        route.m_timeoutMilliseconds = static_cast<std::uint32_t>(Timeout.count());
    }
    fixture.m_fleetState.apply(declarations);
}

/// Closes the connection without an answer after @p delay; 0 if it stays silent.
TestSupport::ScriptedServer::Script closingAfter(RelayFixture &fixture, Core::Duration delay)
{
    return [&fixture, delay](const std::shared_ptr<ScriptedConnection> &connection) {
        if (delay.count() == 0) {
            return;
        }
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(fixture.m_loop, delay);
        timer->async_wait([timer, connection](const boost::system::error_code &) { connection->close(); });
    };
}

/// Runs the relay for @p time after a stream was requested, with a caller that leaves then.
void askAndLeave(RelayFixture &fixture, Core::Duration time)
{
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send("GET /stream/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n");
    const Core::Instant end = Core::Clock::now() + time;
    REQUIRE(runUntil(fixture.m_loop, [end] { return Core::Clock::now() >= end; }));
    caller.close();
}

}

TEST_CASE("The caller of a stream leaves after the longest of two seconds, four objectives and eight pauses")
{
    CHECK(Relay::streamPatience(Core::Duration(100), Core::Duration(100)) == Core::Duration(2000));
    CHECK(Relay::streamPatience(Core::Duration(1000), Core::Duration(400)) == Core::Duration(4000));
    CHECK(Relay::streamPatience(Goal, GapGoal) == Core::Duration(2400));
    Relay::CallerWait nearDeadline = waitingFor(Core::Duration(0));
    nearDeadline.m_timeLeft = Core::Duration(700);
    CHECK(Relay::untilCallerLeaves(nearDeadline) == Core::Duration(700));
}

TEST_CASE("Load: paths so slow that a request takes as long as its caller waits; a move begins early or not at all")
{
    CHECK(Relay::mayMove(waitingFor(Core::Duration(1400))));
    CHECK_FALSE(Relay::mayMove(waitingFor(Core::Duration(1401))));
    CHECK(Relay::mayRepeat(waitingFor(Core::Duration(1900))));
    CHECK_FALSE(Relay::mayRepeat(waitingFor(Core::Duration(1901))));
    CHECK(Relay::silenceBeforeMove(Core::Duration(1600), waitingFor(Core::Duration(0))) == Core::Duration(1200));
    CHECK(Relay::silenceBeforeMove(Core::Duration(900), waitingFor(Core::Duration(0))) == Core::Duration(900));
    CHECK(Relay::silenceBeforeMove(Core::Duration(1600), waitingFor(Core::Duration(2000))) == Core::Duration(800));
    CHECK(Relay::silenceBeforeCancellation(Core::Duration(6000), waitingFor(Core::Duration(1300))) == Core::Duration(500));
    CHECK_FALSE(Relay::mustCancel(waitingFor(Core::Duration(1799))));
    CHECK(Relay::mustCancel(waitingFor(Core::Duration(1800))));
}

TEST_CASE("A request that is no stream may be repeated until its deadline")
{
    Relay::CallerWait call = waitingFor(Core::Duration(2300));
    call.m_isStream = false;
    CHECK(Relay::mayRepeat(call));
    CHECK(Relay::untilCallerLeaves(call) == call.m_timeLeft);
}

TEST_CASE("A stream whose endpoint is silent moves while the second endpoint can still be of use")
{
    RelayFixture fixture;
    configureStreams(fixture);
    fixture.addEndpoint(closingAfter(fixture, Core::Duration(0)));
    fixture.addEndpoint(closingAfter(fixture, Core::Duration(0)));
    askAndLeave(fixture, Core::Duration(1500));
    CHECK(fixture.m_requests.size() == 2);
}

TEST_CASE("A second endpoint that is silent, too, is left before the caller leaves")
{
    // Guards against an engine that works on because the end of its connection takes as long as the request did.
    RelayFixture fixture;
    configureStreams(fixture);
    std::vector<std::shared_ptr<ScriptedConnection>> connections;
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&connections](const std::shared_ptr<ScriptedConnection> &connection) { connections.push_back(connection); });
    }
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send("GET /stream/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n");
    REQUIRE(runUntil(fixture.m_loop, [&connections] { return connections.size() == 2 && connections[1]->isDisconnected(); }));
    CHECK_FALSE(caller.isClosed());
    REQUIRE(runUntil(fixture.m_loop, [&caller] { return caller.received().find("\r\n\r\n") != std::string::npos; }));
    CHECK(caller.received().substr(9, 3) == "502");
}

TEST_CASE("A stream whose endpoint ends shortly before the caller leaves is not sent to a second one")
{
    // Guards against engines that work for callers who have left.
    RelayFixture fixture;
    configureStreams(fixture);
    fixture.exhaustRetryBudget(); // No move while the endpoint is silent.
    fixture.addEndpoint(closingAfter(fixture, Core::Duration(2000)));
    fixture.addEndpoint(closingAfter(fixture, Core::Duration(2000)));
    askAndLeave(fixture, Core::Duration(2400));
    CHECK(fixture.m_requests.size() == 1);
}
