/// @file Tests that a process which is leaving begins only requests that end before it does, and leaves none without an answer.

#include "../Support/RelayFixture.h"

using TestSupport::answering;
using TestSupport::FirstEvent;
using TestSupport::Good;
using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::StreamHead;

namespace {

constexpr Core::Duration Soon{2000}; ///< Less than the time limits of the routes.
constexpr std::size_t ObservedAnswers = 20; ///< Enough to show how long answers take.
const std::string Impatient = "Key: k\r\nPatience: 1000\r\n"; ///< Fields of a caller that leaves before the process does.

void leaveSoon(RelayFixture &fixture)
{
    fixture.m_relay->startLeaving(Core::Clock::now() + Soon);
}

bool hasCompleteHead(const std::string &received)
{
    return received.find("\r\n\r\n") != std::string::npos;
}

std::string request(const std::string &path)
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n";
}

}

TEST_CASE("A leaving process refuses a request at once that may last longer than it does, and sends the caller elsewhere at once")
{
    // Guards against requests that are taken late, passed on, and cut when the process ends.
    const std::string path = GENERATE("/read/x", "/book/x", "/stream/x");
    CAPTURE(path);
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering(Good));
    leaveSoon(fixture);
    const std::string refusal = fixture.ask(path, hasCompleteHead);
    CHECK(refusal.starts_with("HTTP/1.1 503 "));
    CHECK(refusal.find("Retry-After: 0.00\r\n") != std::string::npos);
    CHECK(fixture.m_requests.empty());
}

TEST_CASE("A leaving process takes requests that end before it does, by their time limit or by what recent answers took")
{
    const bool isLimited = GENERATE(true, false);
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering(Good));
    for (std::size_t count = 0; !isLimited && count < ObservedAnswers; ++count) {
        REQUIRE(fixture.statusOf("/read/x") == "200");
        REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->openRequests() == 0; }));
    }
    leaveSoon(fixture);
    CHECK(fixture.statusOf("/read/x", isLimited ? Impatient : "Key: k\r\n") == "200");
}

TEST_CASE("A request that waits for a place is refused when the process begins to leave, unless it can still end in time")
{
    const bool isSoon = GENERATE(true, false);
    constexpr Core::Duration late{60000};
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(answering(Good));
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    fixture.letWait(caller);
    fixture.m_relay->startLeaving(Core::Clock::now() + (isSoon ? Soon : late));
    CHECK(fixture.m_relay->waitingRequests() == (isSoon ? 0 : 1));
    CHECK(runUntil(
              fixture.m_loop, [&caller] { return hasCompleteHead(caller.received()); }, std::chrono::milliseconds(200))
          == isSoon);
    CHECK(fixture.m_requests.empty());
}

TEST_CASE("A leaving process does not send a request again that would not end in time")
{
    RelayFixture fixture;
    fixture.configure();
    const std::function<void(const std::shared_ptr<ScriptedConnection> &)> leaveAndReset = [&fixture](const std::shared_ptr<ScriptedConnection> &connection) {
        leaveSoon(fixture);
        connection->reset();
    };
    fixture.addEndpoint(leaveAndReset);
    fixture.addEndpoint(leaveAndReset);
    CHECK(fixture.statusOf("/read/x") == "502");
    CHECK(fixture.m_requests.size() == 1);
}

TEST_CASE("Quick failures do not show how long answers take")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering("HTTP/1.1 500 Error\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"));
    for (std::size_t count = 0; count < ObservedAnswers; ++count) {
        REQUIRE(fixture.statusOf("/book/x") == "500");
        REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->openRequests() == 0; }));
    }
    leaveSoon(fixture);
    CHECK(fixture.statusOf("/book/x") == "503");
}

TEST_CASE("When the process ends, an open request gets an answer unless one has begun, and a promise only if it has not run")
{
    // Guards against requests that end with the process without any answer.
    RelayFixture fixture;
    fixture.configure();
    std::vector<std::shared_ptr<ScriptedConnection>> running;
    fixture.addEndpoint([&running](const std::shared_ptr<ScriptedConnection> &connection) {
        running.push_back(connection);
        if (connection->request().find("/stream/") != std::string::npos) {
            connection->send(std::string(StreamHead) + FirstEvent);
        }
    });
    RawCaller booking(fixture.m_loop, fixture.m_listener->port());
    booking.send(request("/book/x"));
    RawCaller stream(fixture.m_loop, fixture.m_listener->port());
    stream.send(request("/stream/x"));
    REQUIRE(runUntil(fixture.m_loop, [&running, &stream] { return running.size() == 2 && stream.received().find("id: 1") != std::string::npos; }));
    fixture.m_relay->endOpenRequests();
    CHECK(fixture.m_relay->openRequests() == 0);
    REQUIRE(runUntil(fixture.m_loop, [&booking, &stream] { return hasCompleteHead(booking.received()) && stream.isClosed(); }));
    CHECK(booking.received().starts_with("HTTP/1.1 504 "));
    CHECK_FALSE(stream.received().ends_with("0\r\n\r\n"));
    CHECK_FALSE(stream.isReset());
    CHECK(runUntil(fixture.m_loop, [&running] { return running[0]->isDisconnected() && running[1]->isDisconnected(); }));
}

TEST_CASE("A request that waits when the process ends is refused")
{
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(answering(Good));
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    fixture.letWait(caller);
    fixture.m_relay->endOpenRequests();
    REQUIRE(runUntil(fixture.m_loop, [&caller] { return hasCompleteHead(caller.received()); }));
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
}
