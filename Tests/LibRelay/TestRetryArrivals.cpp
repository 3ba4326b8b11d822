/// @file Tests that every way on which a request arrives at a further endpoint is paid for from the retry budget, and no other.

#include "../Support/RelayFixture.h"

using TestSupport::answering;
using TestSupport::FirstEvent;
using TestSupport::LastEvent;
using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::StreamHead;

namespace {

constexpr const char *Refusal = "HTTP/1.1 503 Busy\r\nAttempt: 1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";

std::size_t spent(RelayFixture &fixture)
{
    return fixture.m_retryBudgets.describe("desk", Core::Clock::now()).m_spent;
}

bool isEnded(const std::string &received)
{
    return received.ends_with("0\r\n\r\n") || received.ends_with("\r\n\r\ndone");
}

/// Adds two endpoints. Whichever is asked first breaks its stream off; the other goes on with it.
void addInterruptedStream(RelayFixture &fixture)
{
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
            const bool isFirst = fixture.m_requests.size() == 1;
            connection->send(std::string(StreamHead) + (isFirst ? FirstEvent : LastEvent));
            if (isFirst) {
                connection->reset();
            }
        });
    }
}

/// Adds two endpoints. Whichever is asked first refuses; the other answers.
void addRefusal(RelayFixture &fixture)
{
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
            connection->send(fixture.m_requests.size() == 1 ? Refusal : TestSupport::Good);
        });
    }
}

/// Adds endpoints to which no connection can be made.
void addUnreachable(RelayFixture &fixture, int count)
{
    Http::EventLoop loop;
    for (; count > 0; --count) {
        const std::uint16_t closedPort = TestSupport::ScriptedServer(loop, [](const std::shared_ptr<ScriptedConnection> &) {}).port();
        fixture.addAddress(Core::Address{"127.0.0.1", closedPort});
    }
}

}

TEST_CASE("A retry after a refusal is paid for once, also if it meets endpoints without connections on its way")
{
    for (const int unreachable : {0, 2}) {
        RelayFixture fixture;
        fixture.configure();
        addUnreachable(fixture, unreachable);
        addRefusal(fixture);
        CHECK(fixture.statusOf("/read/x") == "200");
        CHECK(fixture.m_requests.size() == 2);
        CHECK(spent(fixture) == 1);
    }
}

TEST_CASE("A request is not sent again without a budget")
{
    RelayFixture fixture;
    fixture.configure();
    addRefusal(fixture);
    fixture.exhaustRetryBudget();
    const std::size_t before = spent(fixture);
    CHECK(fixture.statusOf("/read/x") == "503");
    CHECK(fixture.m_requests.size() == 1);
    CHECK(spent(fixture) == before);
}

TEST_CASE("A resumed stream is paid for, and not resumed without a budget")
{
    for (const bool hasBudget : {true, false}) {
        RelayFixture fixture;
        fixture.configure();
        addInterruptedStream(fixture);
        if (!hasBudget) {
            fixture.exhaustRetryBudget();
        }
        const std::size_t before = spent(fixture);
        CHECK(isEnded(fixture.ask("/stream/x", isEnded)) == hasBudget);
        CHECK(fixture.m_requests.size() == (hasBudget ? 2 : 1));
        CHECK(spent(fixture) - before == (hasBudget ? 1 : 0));
        CHECK(fixture.m_metrics.counter("relay_broken_answers_total{not_retried=\"no_budget\"}").value() == (hasBudget ? 0 : 1));
    }
}

TEST_CASE("A stream that breaks off at every endpoint that it may be sent to is counted with that as the reason")
{
    RelayFixture fixture;
    fixture.configure();
    for (int count = 0; count < 3; ++count) {
        fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) {
            connection->send(std::string(StreamHead) + FirstEvent);
            connection->reset();
        });
    }
    CHECK_FALSE(isEnded(fixture.ask("/stream/x", isEnded)));
    CHECK(fixture.m_metrics.counter("relay_broken_answers_total{not_retried=\"no_attempt_left\"}").value() == 1);
}

TEST_CASE("An attempt at an endpoint that accepts no connection is not paid for")
{
    RelayFixture fixture;
    fixture.configure();
    addUnreachable(fixture, 2);
    fixture.addEndpoint(answering(TestSupport::Good));
    fixture.exhaustRetryBudget();
    const std::size_t before = spent(fixture);
    for (int count = 0; count < 4; ++count) {
        CHECK(fixture.statusOf("/read/x") == "200");
    }
    CHECK(fixture.m_requests.size() == 4);
    CHECK(spent(fixture) == before);
}

TEST_CASE("A connection that is accepted and reset counts as an arrival")
{
    // The request may be in flight when the connection is reset.
    RelayFixture fixture;
    fixture.configure();
    for (int count = 0; count < 2; ++count) {
        fixture.addEndpoint([&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
            if (fixture.m_requests.size() == 1) {
                connection->reset();
            } else {
                connection->send(TestSupport::Good);
            }
        });
    }
    CHECK(fixture.statusOf("/read/x") == "200");
    CHECK(spent(fixture) == 1);
}

TEST_CASE("A retry out of the queue is paid for when it is sent")
{
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(
        [&fixture](const std::shared_ptr<ScriptedConnection> &connection) { connection->send(fixture.m_requests.size() == 1 ? Refusal : TestSupport::Good); });
    fixture.reportWeights();
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send(TestSupport::RequestOfModel);
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->waitingRequests() == 1; }));
    CHECK(fixture.m_requests.size() == 1);
    CHECK(spent(fixture) == 0);
    REQUIRE(runUntil(fixture.m_loop, [&fixture, &caller] {
        fixture.m_relay->onSlotsChanged();
        return isEnded(caller.received());
    }));
    CHECK(fixture.m_requests.size() == 2);
    CHECK(spent(fixture) == 1);
}

TEST_CASE("A retry that its caller does not wait for is given back")
{
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(answering(Refusal));
    fixture.reportWeights();
    const std::size_t slackSpent = fixture.m_retryBudgets.describe("desk", Core::Clock::now()).m_slackSpent;
    {
        RawCaller caller(fixture.m_loop, fixture.m_listener->port());
        caller.send(TestSupport::RequestOfModel);
        REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->waitingRequests() == 1; }));
        caller.close();
        REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->openRequests() == 0; }));
    }
    const Placement::RetryBudgetState state = fixture.m_retryBudgets.describe("desk", Core::Clock::now());
    CHECK(state.m_spent == 0);
    CHECK(state.m_slackSpent == slackSpent);
    std::size_t available = 0;
    while (fixture.m_retryBudgets.tryReserve("desk", false, 1, Core::Clock::now()) != Placement::RetryGrant::None) {
        ++available;
    }
    CHECK(available == state.m_share.m_slack + static_cast<std::size_t>(state.m_tokens));
}
