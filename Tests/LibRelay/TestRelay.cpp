/// @file Tests of the relay with faulty endpoints, over real sockets.

#include "../Support/RelayFixture.h"

using TestSupport::answering;
using TestSupport::Good;
using TestSupport::RawCaller;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

TEST_CASE("an entry without a configuration answers that it is unavailable, not that a route or key is unknown")
{
    // If a process that has just started answered 404, callers would give up for good. After 503 they retry.
    RelayFixture fixture;
    CHECK(fixture.statusOf("/read/x") == "503");
}

TEST_CASE("requests without a route, key or endpoint are answered at once")
{
    RelayFixture fixture;
    fixture.configure();
    CHECK(fixture.statusOf("/none/x") == "404");
    CHECK(fixture.statusOf("/read/x", "Key: wrong\r\n") == "401");
    CHECK(fixture.statusOf("/read/x") == "503");
}

TEST_CASE("the endpoint receives the account of the key, and the caller receives the endpoint's answer")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering(Good));
    const std::string received = fixture.ask("/book/x", [](const std::string &text) { return text.ends_with("done"); });
    CHECK(received.find("Seal: s") != std::string::npos);
    REQUIRE(fixture.m_requests.size() == 1);
    CHECK(fixture.m_requests[0].find("Account: buyer") != std::string::npos);
    CHECK(fixture.m_requests[0].find("GET /book/x HTTP/1.1") == 0);
}

TEST_CASE("a request that may run only once is not retried after it may have run")
{
    // The endpoint runs a request that books something, but its answer is lost. A retry would book twice, and after an answer that the request did not run, the
    // caller would book again itself.
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) { connection->reset(); });
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) { connection->reset(); });
    CHECK(fixture.statusOf("/book/x") == "502");
    CHECK(fixture.m_requests.size() == 1);
}

TEST_CASE("a status that implies that the request did not run is not forwarded without the endpoint's own guarantee")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering("HTTP/1.1 503 Busy\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n"));
    CHECK(fixture.statusOf("/book/x") == "502");
}

TEST_CASE("a request that an endpoint did not run is sent to another one")
{
    RelayFixture fixture;
    fixture.configure();
    std::size_t refusals = 0;
    const ScriptedServer::Script fullThenGood = [&refusals](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(refusals++ == 0 ? "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" : Good);
    };
    fixture.addEndpoint(fullThenGood);
    fixture.addEndpoint(fullThenGood);
    CHECK(fixture.statusOf("/book/x") == "200");
    CHECK(fixture.m_requests.size() == 2);
}

TEST_CASE("endpoints that accept no connection do not count as attempts")
{
    // Several endpoints have just failed and are still listed. The request reaches none of them while another endpoint has free slots, so it must not be
    // refused.
    RelayFixture fixture;
    fixture.configure();
    constexpr std::uint16_t nobodyListens = 1;
    for (std::uint16_t dead = 0; dead < 4; ++dead) {
        fixture.addAddress(Core::Address{"127.0.0.1", static_cast<std::uint16_t>(nobodyListens + dead)});
    }
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) { connection->send(Good); });
    for (int count = 0; count < 8; ++count) {
        CHECK(fixture.statusOf("/book/x") == "200");
    }
}

TEST_CASE("answers to other requests, answers without the endpoint's seal and encoded answers are not forwarded")
{
    // A faulty endpoint sends the answer to an earlier request, or bytes that only look like an answer. The caller could receive another caller's text.
    const std::string bad = GENERATE("HTTP/1.1 200 OK\r\nAttempt: 2\r\nSeal: s\r\nContent-Length: 4\r\n\r\nevil",
                                     "HTTP/1.1 200 OK\r\nAttempt: 1\r\nContent-Length: 4\r\n\r\nevil",
                                     "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Encoding: gzip\r\nContent-Length: 4\r\n\r\nevil",
                                     "HTTP/1.1 evil\r\n\r\n");
    CAPTURE(bad);
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering(bad));
    const std::string received = fixture.ask("/book/x", [](const std::string &text) { return text.find("\r\n\r\n") != std::string::npos; });
    CHECK(received.substr(9, 3) == "502");
    CHECK(received.find("evil\n") == std::string::npos);
}

TEST_CASE("a stream that is interrupted within an event continues at another endpoint, with each event once")
{
    RelayFixture fixture;
    fixture.configure();
    const ScriptedServer::Script script = [](const std::shared_ptr<ScriptedConnection> &connection) {
        const std::string head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (connection->request().find("After: 2") == std::string::npos) {
            connection->send(head + "16\r\nid: 1\n\nid: 2\n\nid: 3\nda\r\n");
            connection->reset();
            return;
        }
        connection->send(head + "10\r\nid: 3\n\nid: 4\n\n\r\n0\r\n\r\n");
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    const std::string received = fixture.ask("/stream/x", [](const std::string &text) { return text.ends_with("0\r\n\r\n"); });
    std::string events;
    for (std::size_t at = received.find("id: "); at != std::string::npos; at = received.find("id: ", at + 1)) {
        events += received.substr(at + 4, 1);
    }
    CHECK(events == "1234");
}

TEST_CASE("the caller's connection is closed if an answer is interrupted after its head")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 9\r\n\r\nhalf");
        connection->close();
    });
    const std::string received = fixture.ask("/book/x", [](const std::string &) { return false; });
    CHECK(received.ends_with("half"));
}

TEST_CASE("the attempt at the endpoint is cancelled when the caller disconnects")
{
    RelayFixture fixture;
    fixture.configure();
    std::shared_ptr<ScriptedConnection> upstream;
    fixture.addEndpoint([&upstream](const std::shared_ptr<ScriptedConnection> &connection) { upstream = connection; });
    {
        RawCaller caller(fixture.m_loop, fixture.m_listener->port());
        caller.send("GET /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n");
        REQUIRE(runUntil(fixture.m_loop, [&upstream] { return upstream != nullptr; }));
        caller.close();
        CHECK(runUntil(fixture.m_loop, [&upstream] { return upstream->isDisconnected(); }));
    }
    CHECK(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->openRequests() == 0; }));
}

TEST_CASE("a request fails when the caller's timeout expires")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint([](const std::shared_ptr<ScriptedConnection> &) {});
    CHECK(fixture.statusOf("/book/x", "Key: k\r\nPatience: 80\r\n") == "504");
}

TEST_CASE("a repeated request is cancelled at its second endpoint when the caller's time is over")
{
    // Guards against an engine that works on a repeat whose caller has left.
    RelayFixture fixture;
    fixture.configure();
    std::vector<std::shared_ptr<ScriptedConnection>> attempts;
    const ScriptedServer::Script silent = [&attempts](const std::shared_ptr<ScriptedConnection> &connection) { attempts.push_back(connection); };
    fixture.addEndpoint(silent);
    fixture.addEndpoint(silent);
    const bool leavesBefore = GENERATE(false, true);
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send("GET /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\nPatience: 500\r\n\r\n"); // The first attempt is given up after 400 ms.
    REQUIRE(runUntil(fixture.m_loop, [&attempts] { return attempts.size() == 2; }));
    CHECK(runUntil(fixture.m_loop, [&attempts] { return attempts[0]->isDisconnected(); }));
    if (leavesBefore) {
        caller.close();
    }
    CHECK(runUntil(
        fixture.m_loop, [&attempts] { return attempts[1]->isDisconnected(); }, std::chrono::seconds(2)));
}

TEST_CASE("a stream that moves to another endpoint gets the highest priority")
{
    // An engine interrupts a running stream to load other weights. If the stream queued behind new requests at the next engine, its caller, which is already
    // reading, would see a pause.
    RelayFixture fixture;
    fixture.configure();
    const ScriptedServer::Script cutting = [](const std::shared_ptr<ScriptedConnection> &connection) {
        constexpr const char *head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (connection->request().find("After: 1") == std::string::npos) {
            connection->send(std::string(head) + "f\r\nid: 1\ndata: a\n\n\r\n");
            connection->reset();
            return;
        }
        connection->send(std::string(head) + "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n");
    };
    fixture.addEndpoint(cutting);
    fixture.addEndpoint(cutting);
    fixture.ask("/stream/x", [](const std::string &text) { return text.find("0\r\n\r\n") != std::string::npos; });
    REQUIRE(fixture.m_requests.size() == 2);
    CHECK(fixture.m_requests[0].find("Priority: 1") != std::string::npos);
    CHECK(fixture.m_requests[1].find("Priority: 0") != std::string::npos);
}

TEST_CASE("a request that arrives before the first configuration is answered once the configuration is known")
{
    // Guards against refusing callers in the moments after a restart before the configuration has arrived.
    RelayFixture fixture;
    fixture.addEndpoint(answering(Good));
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send("GET /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n");
    REQUIRE(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->openRequests() == 1; }));
    fixture.configure();
    fixture.m_relay->onConfigurationChanged();
    REQUIRE(runUntil(fixture.m_loop, [&caller] { return caller.received().ends_with("done"); }));
    CHECK(caller.received().substr(9, 3) == "200");
}

TEST_CASE("a request waits until an engine has the weights")
{
    // Guards against refusing callers in the seconds in which weights arrive after a power loss.
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(answering(Good));
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    fixture.letWait(caller);
    CHECK(fixture.m_requests.empty());
    fixture.reportWeights();
    fixture.m_relay->onSlotsChanged();
    REQUIRE(runUntil(fixture.m_loop, [&caller] { return caller.received().ends_with("done"); }));
    CHECK(fixture.m_requests.size() == 1);
    CHECK(fixture.m_relay->waitingRequests() == 0);
}

TEST_CASE("a waiting request is removed from the queue and sent to no engine when its caller disconnects")
{
    // Guards against work for callers that have disconnected.
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(answering(Good));
    {
        RawCaller caller(fixture.m_loop, fixture.m_listener->port());
        fixture.letWait(caller);
        caller.close();
        CHECK(runUntil(fixture.m_loop, [&fixture] { return fixture.m_relay->waitingRequests() == 0; }));
    }
    CHECK(fixture.m_relay->openRequests() == 0);
    fixture.reportWeights();
    fixture.m_relay->onSlotsChanged();
    CHECK(fixture.m_requests.empty());
}

TEST_CASE("a request with too little time for any engine is refused at once, as not run")
{
    // Guards against letting callers wait although their answers could not end within their timeouts.
    RelayFixture fixture;
    fixture.configureEngines();
    fixture.addEndpoint(answering(Good));
    CHECK(fixture.statusOf("/read/x", "Key: k\r\nModel: m\r\nPatience: 300\r\n") == "503");
    CHECK(fixture.m_requests.empty());
}

TEST_CASE("an endpoint gets no more requests than the limit that it has stated")
{
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint(answering("HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nLimit: 2\r\nContent-Length: 4\r\n\r\ndone"));
    CHECK(fixture.statusOf("/read/x") == "200");
    const Core::Instant toldAt = Core::Clock::now();
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    for (std::size_t request = 0; request < 60; ++request) {
        const std::size_t received = caller.received().size();
        caller.send("GET /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n");
        REQUIRE(
            runUntil(fixture.m_loop, [&fixture, &caller, received] { return caller.received().size() > received && fixture.m_relay->openRequests() == 0; }));
    }
    const double allowed = 1.5 * 2 * std::max(4.0, Core::secondsBetween(toldAt, Core::Clock::now())) + 5;
    CHECK(static_cast<double>(fixture.m_requests.size()) <= allowed);
}
