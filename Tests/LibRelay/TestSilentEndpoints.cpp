/// @file Tests that an answer is not ended because its endpoint is silent for a while if no other endpoint can go on with it.

#include "../Support/RelayFixture.h"

using TestSupport::FirstEvent;
using TestSupport::LastEvent;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::StreamHead;

namespace {

constexpr std::uint32_t GapGoalMilliseconds = 50;
constexpr Core::Duration Silence{GapGoalMilliseconds * 8}; ///< Twice the pause after which a stream may move to another endpoint.

void configureWithGoals(RelayFixture &fixture)
{
    fixture.configure();
    Fleet::Declarations declarations;
    declarations.m_end = 2;
    declarations.m_configurationOffset = 1;
    declarations.m_configuration = fixture.m_fleetState.configuration()->configuration();
    for (Fleet::Route &route : declarations.m_configuration->m_routes) {
        route.m_goalMilliseconds = GapGoalMilliseconds;
        route.m_gapGoalMilliseconds = GapGoalMilliseconds;
    }
    fixture.m_fleetState.apply(declarations);
}

/// Sends @p first, and @p rest after a silence.
TestSupport::ScriptedServer::Script pausing(RelayFixture &fixture, const std::string &first, const std::string &rest)
{
    return [&fixture, first, rest](const std::shared_ptr<ScriptedConnection> &connection) {
        if (!first.empty()) {
            connection->send(first);
        }
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(fixture.m_loop, Silence);
        timer->async_wait([timer, connection, rest](const boost::system::error_code &) { connection->send(rest); });
    };
}

bool isWholeStream(const std::string &received)
{
    return received.ends_with("0\r\n\r\n");
}

}

TEST_CASE("A stream whose endpoint pauses goes on if there is no other endpoint")
{
    RelayFixture fixture;
    configureWithGoals(fixture);
    fixture.addEndpoint(pausing(fixture, std::string(StreamHead) + FirstEvent, LastEvent));
    CHECK(isWholeStream(fixture.ask("/stream/x", isWholeStream)));
    CHECK(fixture.m_requests.size() == 1);
}

TEST_CASE("A stream whose endpoint pauses goes on if the retry budget is exhausted")
{
    RelayFixture fixture;
    configureWithGoals(fixture);
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint(pausing(fixture, std::string(StreamHead) + FirstEvent, LastEvent));
    }
    fixture.exhaustRetryBudget();
    CHECK(isWholeStream(fixture.ask("/stream/x", isWholeStream)));
    CHECK(fixture.m_requests.size() == 1);
}

TEST_CASE("A stream whose endpoint pauses moves to another endpoint if it may")
{
    RelayFixture fixture;
    configureWithGoals(fixture);
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
            const bool isFirst = fixture.m_requests.size() == 1;
            connection->send(std::string(StreamHead) + (isFirst ? FirstEvent : LastEvent));
        });
    }
    CHECK(isWholeStream(fixture.ask("/stream/x", isWholeStream)));
    CHECK(fixture.m_requests.size() == 2);
}

TEST_CASE("A stream whose endpoint pauses goes on there if no other endpoint takes it over")
{
    // Guards against a stream that is taken from a slow endpoint and then has none.
    const std::string other = GENERATE(std::string("HTTP/1.1 503 Busy\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"),
                                       std::string("HTTP/1.1 500 Broken\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"),
                                       std::string());
    RelayFixture fixture;
    configureWithGoals(fixture);
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&fixture, &other](const std::shared_ptr<ScriptedConnection> &connection) {
            if (fixture.m_requests.size() == 1) {
                pausing(fixture, std::string(StreamHead) + FirstEvent, LastEvent)(connection);
            } else if (!other.empty()) {
                connection->send(other);
            }
        });
    }
    const std::string received = fixture.ask("/stream/x", isWholeStream);
    CHECK(isWholeStream(received));
    CHECK(received.find("id: 2") == received.rfind("id: 2"));
    CHECK(fixture.m_requests.size() == 2);
    CHECK(fixture.m_relay->openRequests() == 0);
}

TEST_CASE("A stream that another endpoint has begun to go on with is taken from the one that paused")
{
    RelayFixture fixture;
    configureWithGoals(fixture);
    std::shared_ptr<ScriptedConnection> first;
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&fixture, &first](const std::shared_ptr<ScriptedConnection> &connection) {
            const bool isFirst = fixture.m_requests.size() == 1;
            first = isFirst ? connection : first;
            connection->send(std::string(StreamHead) + (isFirst ? FirstEvent + std::string("6\r\nid: 2\n\r\n") : LastEvent));
        });
    }
    const std::string received = fixture.ask("/stream/x", isWholeStream);
    CHECK(isWholeStream(received));
    CHECK(received.find("id: 2") == received.rfind("id: 2"));
    CHECK(fixture.m_requests.back().find("After: 1\r\n") != std::string::npos);
    CHECK(runUntil(fixture.m_loop, [&first] { return first->isDisconnected(); }));
}

TEST_CASE("A repeatable request waits for its endpoint if there is no other endpoint")
{
    RelayFixture fixture;
    configureWithGoals(fixture);
    fixture.addEndpoint([&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
        constexpr Core::Duration longerThanTheHeadLimit{1500};
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(fixture.m_loop, longerThanTheHeadLimit);
        timer->async_wait([timer, connection](const boost::system::error_code &) { connection->send(TestSupport::Good); });
    });
    CHECK(fixture.statusOf("/read/x") == "200");
    CHECK(fixture.m_requests.size() == 1);
}

TEST_CASE("A request does not go on waiting at an engine whose weights have become too old to begin on")
{
    RelayFixture fixture;
    fixture.configureEngines();
    bool wasLeft = false;
    fixture.addEndpoint([&fixture, &wasLeft](const std::shared_ptr<ScriptedConnection> &connection) {
        constexpr Core::Duration longerThanTheHeadLimit{2500};
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(fixture.m_loop, longerThanTheHeadLimit);
        timer->async_wait([timer, connection, &wasLeft](const boost::system::error_code &) {
            wasLeft = connection->isDisconnected();
            connection->send(TestSupport::Good);
        });
    });
    fixture.reportWeights();
    constexpr Core::Duration almostTheBound{6400};
    fixture.m_versionDeadlines.recordDeclared("m", 2, almostTheBound, Core::Clock::now());
    CHECK(fixture.statusOf("/read/x", "Key: k\r\nModel: m\r\n") != "200");
    REQUIRE(runUntil(fixture.m_loop, [&wasLeft] { return wasLeft; }));
}
