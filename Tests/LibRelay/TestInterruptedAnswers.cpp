/// @file Tests that an answer which its endpoint has broken off never looks complete to the caller, however the endpoint delimits it.

#include "../Support/ReceivedAnswer.h"

using TestSupport::RawCaller;
using TestSupport::receive;
using TestSupport::Received;
using TestSupport::RelayFixture;
using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

namespace {

/// How a scripted endpoint delimits its answers.
enum class Delimiter {
    Chunks,
    Length,
    Close,
};

/// How a scripted endpoint ends its answers.
enum class Ending {
    Closed, ///< The connection is closed after the length or the last chunk, if there is one.
    Reset, ///< The connection is reset before that.
};

constexpr std::size_t MissingBytes = 100; ///< By which the stated length of a broken answer is longer than its body.

std::string chunk(const std::string &bytes)
{
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return size.data() + bytes + "\r\n";
}

void sendAnswer(const std::shared_ptr<ScriptedConnection> &connection, Delimiter delimiter, const std::string &body, Ending ending)
{
    std::string head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\n";
    std::string framed = body;
    if (delimiter == Delimiter::Chunks) {
        head += "Transfer-Encoding: chunked\r\n";
        framed = chunk(body) + (ending == Ending::Reset ? "" : "0\r\n\r\n");
    } else if (delimiter == Delimiter::Length) {
        head += "Content-Length: " + std::to_string(body.size() + (ending == Ending::Reset ? MissingBytes : 0)) + "\r\n";
    }
    connection->send(head + "\r\n" + framed);
    if (ending == Ending::Reset) {
        connection->reset();
    } else {
        connection->close();
    }
}

std::string eventsFrom(std::uint64_t first, std::uint64_t last)
{
    std::string events;
    for (std::uint64_t id = first; id <= last; ++id) {
        events += "id: " + std::to_string(id) + "\ndata: text\n\n";
    }
    return events;
}

constexpr const char *PartOfEvent = "id: 3\nda";

/// Adds an endpoint that answers every request with the body.
void addAnsweringEndpoint(RelayFixture &fixture, Delimiter delimiter, const std::string &body, Ending ending)
{
    fixture.addEndpoint([=](const std::shared_ptr<ScriptedConnection> &connection) { sendAnswer(connection, delimiter, body, ending); });
}

}

TEST_CASE("An answer without a length ends for the caller as it did at the endpoint, with the connection")
{
    const std::string path = GENERATE("/read/x", "/stream/x");
    const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
    CAPTURE(path, version);
    RelayFixture fixture;
    fixture.configure();
    addAnsweringEndpoint(fixture, Delimiter::Close, eventsFrom(1, 2), Ending::Closed);
    const Received received = receive(fixture, "GET " + path + " " + version);
    CHECK(received.m_isClosed);
    CHECK_FALSE(received.m_isReset);
    CHECK(received.m_head.find("Transfer-Encoding") == std::string::npos);
    CHECK(received.m_head.find("Content-Length") == std::string::npos);
    CHECK(received.m_head.find("Connection: close") != std::string::npos);
    CHECK(received.m_body == eventsFrom(1, 2));
}

TEST_CASE("An answer whose endpoint resets the connection does not look complete")
{
    const std::string path = GENERATE("/read/x", "/stream/x");
    const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
    const Delimiter delimiter = GENERATE(Delimiter::Chunks, Delimiter::Length, Delimiter::Close);
    CAPTURE(path, version, static_cast<int>(delimiter));
    RelayFixture fixture;
    fixture.configure();
    addAnsweringEndpoint(fixture, delimiter, eventsFrom(1, 2), Ending::Reset);
    CHECK_FALSE(receive(fixture, "GET " + path + " " + version).looksComplete());
}

TEST_CASE("A stream that ends inside an event does not look complete, however it is delimited")
{
    const Delimiter delimiter = GENERATE(Delimiter::Chunks, Delimiter::Length, Delimiter::Close);
    const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
    CAPTURE(static_cast<int>(delimiter), version);
    RelayFixture fixture;
    fixture.configure();
    addAnsweringEndpoint(fixture, delimiter, eventsFrom(1, 2) + PartOfEvent, Ending::Closed);
    const Received received = receive(fixture, "GET /stream/x " + version);
    CHECK_FALSE(received.looksComplete());
    CHECK(received.eventIds() == "12");
}

TEST_CASE("A stream that ends inside an event continues at another endpoint, however it is delimited")
{
    const Delimiter delimiter = GENERATE(Delimiter::Chunks, Delimiter::Length, Delimiter::Close);
    CAPTURE(static_cast<int>(delimiter));
    RelayFixture fixture;
    fixture.configure();
    const ScriptedServer::Script script = [delimiter](const std::shared_ptr<ScriptedConnection> &connection) {
        if (connection->request().find("After: 2") == std::string::npos) {
            sendAnswer(connection, delimiter, eventsFrom(1, 2) + PartOfEvent, Ending::Closed);
        } else {
            sendAnswer(connection, Delimiter::Chunks, eventsFrom(3, 4), Ending::Closed);
        }
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    const Received received = receive(fixture, "GET /stream/x HTTP/1.1");
    CHECK(received.looksComplete());
    CHECK(received.eventIds() == "1234");
}

TEST_CASE("A stream whose next endpoint ends within its head does not look complete, wherever it ends")
{
    // Guards against a stream that ends as complete because the endpoint to which it has moved sent no more than a part of a head.
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::size_t length = GENERATE(range(0, 64, 9));
    const bool isReset = GENERATE(false, true);
    CAPTURE(length, isReset);
    RelayFixture fixture;
    fixture.configure();
    const ScriptedServer::Script script = [&](const std::shared_ptr<ScriptedConnection> &connection) {
        if (connection->request().find("After: 2") == std::string::npos) {
            sendAnswer(connection, Delimiter::Chunks, eventsFrom(1, 2), Ending::Reset);
            return;
        }
        connection->send(head.substr(0, length));
        if (isReset) {
            connection->reset();
        } else {
            connection->close();
        }
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    const Received received = receive(fixture, "GET /stream/x HTTP/1.1");
    CHECK_FALSE(received.looksComplete());
    CHECK(received.eventIds() == "12");
}

TEST_CASE("A request whose endpoint ends within its head gets no success, wherever it ends")
{
    const std::string head = "HTTP/1.1 200 OK\r\nAttempt: 1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n";
    const std::string path = GENERATE("/read/x", "/stream/x");
    const std::size_t length = GENERATE_COPY(range(std::size_t(0), head.size(), std::size_t(7)));
    CAPTURE(path, length);
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint([&](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(head.substr(0, length));
        connection->close();
    });
    CHECK(receive(fixture, "GET " + path + " HTTP/1.1").m_head.find(" 200 ") == std::string::npos);
}

TEST_CASE("A chunked stream whose second part has no length is not ended as complete")
{
    // Guards against a last chunk that no endpoint has sent.
    RelayFixture fixture;
    fixture.configure();
    const ScriptedServer::Script script = [](const std::shared_ptr<ScriptedConnection> &connection) {
        if (connection->request().find("After: 2") == std::string::npos) {
            sendAnswer(connection, Delimiter::Chunks, eventsFrom(1, 2), Ending::Reset);
        } else {
            sendAnswer(connection, Delimiter::Close, eventsFrom(3, 4), Ending::Closed);
        }
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    const Received received = receive(fixture, "GET /stream/x HTTP/1.1");
    CHECK_FALSE(received.looksComplete());
    CHECK(received.eventIds() == "1234");
}

TEST_CASE("A stream without a length and without an event does not look complete")
{
    RelayFixture fixture;
    fixture.configure();
    addAnsweringEndpoint(fixture, Delimiter::Close, "", Ending::Closed);
    CHECK_FALSE(receive(fixture, "GET /stream/x HTTP/1.1").looksComplete());
}

TEST_CASE("An answer without a body is followed by no bytes")
{
    // Guards against a last chunk behind such an answer, which the caller would take for the beginning of the next one.
    const std::string head =
        GENERATE("HTTP/1.1 204 No Content\r\n", "HTTP/1.1 304 Not Modified\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n");
    const bool isHead = head.find("200") != std::string::npos;
    CAPTURE(head);
    RelayFixture fixture;
    fixture.configure();
    fixture.addEndpoint([head](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(head + "Attempt: 1\r\nSeal: s\r\n\r\n");
        connection->close();
    });
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    const std::string request = std::string(isHead ? "HEAD" : "GET") + " /read/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n";
    caller.send(request);
    REQUIRE(runUntil(fixture.m_loop, [&] { return caller.received().find("\r\n\r\n") != std::string::npos && fixture.m_relay->openRequests() == 0; }));
    caller.send(request);
    REQUIRE(runUntil(fixture.m_loop, [&] { return caller.isClosed() || (fixture.m_requests.size() == 2 && fixture.m_relay->openRequests() == 0); }));
    CHECK(caller.received().find("Transfer-Encoding") == std::string::npos);
    CHECK(caller.received().find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("A stream whose events do not advance is taken from its endpoint and goes on at another one")
{
    // Guards against an endpoint that sends old events without end, of which the caller receives nothing until the time limit.
    constexpr std::size_t pieceEvents = 2000;
    RelayFixture fixture;
    fixture.configure();
    std::shared_ptr<ScriptedConnection> repeating;
    const ScriptedServer::Script script = [&repeating](const std::shared_ptr<ScriptedConnection> &connection) {
        const bool isFirst = !repeating;
        repeating = isFirst ? connection : repeating;
        connection->send(TestSupport::StreamHead + (isFirst ? std::string() : chunk(eventsFrom(1, 3)) + "0\r\n\r\n"));
    };
    fixture.addEndpoint(script);
    fixture.addEndpoint(script);
    RawCaller caller(fixture.m_loop, fixture.m_listener->port());
    caller.send("GET /stream/x HTTP/1.1\r\nHost: a\r\nAttempt: 1\r\nKey: k\r\n\r\n");
    std::string piece;
    for (std::size_t count = 0; count < pieceEvents; ++count) {
        piece += eventsFrom(1, 1);
    }
    std::size_t sentBytes = 0;
    const bool isComplete = runUntil(
        fixture.m_loop,
        [&] {
            if (repeating && !repeating->isDisconnected()) {
                repeating->send(chunk(piece));
                sentBytes += piece.size();
            }
            return caller.received().ends_with("0\r\n\r\n");
        },
        std::chrono::milliseconds(2000)); // Less than the time limit of the route.
    CHECK(isComplete);
    CHECK(caller.received().find("id: 3") != std::string::npos);
    CHECK(sentBytes < 32 << 20);
}
