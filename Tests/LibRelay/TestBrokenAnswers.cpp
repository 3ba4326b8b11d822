/// @file Tests that what an endpoint in trouble sends in place of an answer reaches no caller as one.

#include "../Support/ReceivedAnswer.h"

using TestSupport::FirstEvent;
using TestSupport::Good;
using TestSupport::LastEvent;
using TestSupport::receive;
using TestSupport::Received;
using TestSupport::RelayFixture;
using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;
using TestSupport::StreamHead;

namespace {

constexpr const char *RunsOnce = "/book/x";
constexpr const char *Stream = "/stream/x";
constexpr const char *Evil = "evil"; ///< In all that a broken answer holds and a caller must not receive.

/// Sends the whole answer that the path asks for.
void sendWhole(const std::shared_ptr<ScriptedConnection> &connection, const std::string &path)
{
    connection->send(path == Stream ? StreamHead + std::string(FirstEvent) + LastEvent : Good);
}

/// What the caller received of a request to endpoints of which the first ones to be asked are in trouble, and how many were asked.
struct BrokenAnswer
{
    Received m_received;
    std::size_t m_asked = 0;

    BrokenAnswer(const std::string &path, std::size_t troubled, const ScriptedServer::Script &answerBroken, const std::string &requestBody = {})
    {
        constexpr std::uint32_t maximumBodyBytes = 16 << 20;
        RelayFixture fixture;
        fixture.configure();
        fixture.m_context->m_limits.m_maximumBodyBytes = maximumBodyBytes;
        const ScriptedServer::Script script = [&](const std::shared_ptr<ScriptedConnection> &connection) {
            if (fixture.m_requests.size() <= troubled) {
                answerBroken(connection);
            } else {
                sendWhole(connection, path);
            }
        };
        fixture.addEndpoint(script);
        fixture.addEndpoint(script);
        m_received = receive(fixture, (requestBody.empty() ? "GET " : "POST ") + path + " HTTP/1.1", requestBody);
        m_asked = fixture.m_requests.size();
    }

    bool isWholeAnswer(const std::string &path) const
    {
        const bool isWhole = path == Stream ? m_received.eventIds() == "12" : m_received.m_body == "done";
        return m_received.status() == "200" && m_received.looksComplete() && isWhole;
    }

    /// Returns whether the caller got the relay's own failure, which does not promise that the request has not run.
    bool isOwnFailure() const
    {
        return m_received.status() == "502" && m_received.looksComplete() && m_received.m_head.find("Seal") == std::string::npos
            && m_received.m_head.find("Retry-After") == std::string::npos;
    }

    bool holdsEvil() const
    {
        return (m_received.m_head + m_received.m_body).find(Evil) != std::string::npos;
    }
};

/// Checks what callers get if the first endpoint, or every one, sends @p bytes in place of an answer to this path.
void checkRejected(const std::string &path, const std::string &bytes)
{
    CAPTURE(path, bytes);
    const ScriptedServer::Script script = [&bytes](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(bytes);
        connection->close();
    };
    const BrokenAnswer once(path, 1, script);
    CHECK_FALSE(once.holdsEvil());
    if (path == RunsOnce) {
        CHECK(once.isOwnFailure());
        CHECK(once.m_asked == 1);
        return;
    }
    CHECK(once.isWholeAnswer(path));
    const BrokenAnswer always(path, 2, script);
    CHECK_FALSE(always.holdsEvil());
    CHECK(always.isOwnFailure());
    CHECK(always.m_asked == 2);
}

const std::string Sealed = "Attempt: 1\r\nSeal: s\r\n";
const std::string Body = "Content-Length: 4\r\n\r\nevil";

}

TEST_CASE("An answer with an invalid status is not passed on, and its request goes to another endpoint if it may run again")
{
    // Guards against statuses of three digits that the parser takes and HTTP does not define.
    const std::string path = GENERATE(as<std::string>{}, "/read/x", RunsOnce, Stream);
    const std::string status = GENERATE(as<std::string>{}, "000", "001", "099", "600", "700", "999");
    const std::string seal = GENERATE(as<std::string>{}, "", "Attempt: 1\r\n", "Attempt: 1\r\nSeal: s\r\n");
    checkRejected(path, "HTTP/1.1 " + status + " evil\r\n" + seal + Body);
}

TEST_CASE("An answer with an invalid status and that promises not to have run is not taken at its word")
{
    const std::string status = GENERATE(as<std::string>{}, "000", "600");
    checkRejected(RunsOnce, "HTTP/1.1 " + status + " evil\r\nNot-Run: 1\r\n" + Sealed + Body);
}

TEST_CASE("An answer whose status has not three digits, or that is interim, is not passed on")
{
    const std::string path = GENERATE(as<std::string>{}, "/read/x", RunsOnce, Stream);
    const std::string status = GENERATE(as<std::string>{}, "", "2", "20", "2000", "0200", "+20", "-20", "2 0", " 200", "2x0", "100", "101");
    checkRejected(path, "HTTP/1.1 " + status + " evil\r\n" + Sealed + Body);
}

TEST_CASE("A stream does not go on with an answer with an invalid status")
{
    const std::string status = GENERATE(as<std::string>{}, "000", "099", "600", "999");
    CAPTURE(status);
    std::size_t asked = 0;
    const BrokenAnswer broken(Stream, 2, [&](const std::shared_ptr<ScriptedConnection> &connection) {
        if (++asked == 1) {
            connection->send(StreamHead + std::string(FirstEvent));
            connection->reset();
        } else {
            connection->send("HTTP/1.1 " + status + " evil\r\n" + Sealed + Body);
        }
    });
    CHECK(broken.m_received.eventIds() == "1");
    CHECK_FALSE(broken.m_received.looksComplete());
    CHECK_FALSE(broken.holdsEvil());
}

TEST_CASE("An answer with a malformed field in its head is not passed on")
{
    // Guards against fields that callers read in another way than the relay, or that change where the body ends.
    using namespace std::string_literals;
    const std::string path = GENERATE(as<std::string>{}, "/read/x", RunsOnce, Stream);
    const std::string status = GENERATE(as<std::string>{}, "200", "500");
    const bool isFirstField = GENERATE(true, false);
    const std::string line = GENERATE("ev il: evil"s,
                                      "ev\til: evil"s,
                                      "ev\x01il: evil"s,
                                      "ev\0il: evil"s,
                                      "ev\x7fil: evil"s,
                                      "ev\ril: evil"s,
                                      "ev\nil: evil"s,
                                      "ev\x80il: evil"s,
                                      "ev(il): evil"s,
                                      "ev[il]: evil"s,
                                      ": evil"s,
                                      "evil"s,
                                      "X : evil"s,
                                      "Content-Length : 2"s,
                                      "Transfer-Encoding : chunked"s,
                                      "X: evil\x01"s,
                                      "X: evil\0"s,
                                      "Content-Length: 2"s,
                                      "Transfer-Encoding: chunked"s);
    const std::string malformed = line + "\r\n";
    checkRejected(path, "HTTP/1.1 " + status + " evil\r\n" + (isFirstField ? malformed + Sealed : Sealed + malformed) + Body);
}

TEST_CASE("An answer with a malformed field behind its chunks is not complete")
{
    const std::string path = GENERATE(as<std::string>{}, "/read/x", RunsOnce, Stream);
    const std::string line = GENERATE(as<std::string>{}, "ev il: evil", "ev\x01il: evil", "ev(il): evil", ": evil", "evil", "X : evil", "X: evil\x01");
    CAPTURE(path, line);
    const std::string chunk = path == Stream ? FirstEvent : "4\r\ntext\r\n";
    const BrokenAnswer broken(path, 1, [&](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\n" + Sealed + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n" + line + "\r\n\r\n");
    });
    CHECK_FALSE(broken.holdsEvil());
    if (path == Stream) {
        CHECK(broken.isWholeAnswer(path)); // The other endpoint goes on with it.
    } else {
        CHECK_FALSE(broken.m_received.looksComplete());
    }
}

TEST_CASE("A part of an answer without a length does not look whole if its endpoint resets the connection while it is sent a long request")
{
    // Guards against a reset that only the write of the request sees.
    const std::string path = GENERATE(as<std::string>{}, "/read/x", RunsOnce, Stream);
    const std::string version = GENERATE(as<std::string>{}, "1.1", "1.0");
    const Core::Duration delay(GENERATE(0, 1, 20, 200));
    const std::size_t requestBytes = GENERATE(std::size_t(200) << 10, std::size_t(8) << 20);
    CAPTURE(path, version, delay.count(), requestBytes);
    const std::string part = path == Stream ? "id: 1\ndata: text\n\n" : "partial";
    const BrokenAnswer broken(
        path,
        1,
        [&](const std::shared_ptr<ScriptedConnection> &connection) {
            connection->stopReading();
            connection->send("HTTP/" + version + " 200 OK\r\n" + Sealed + "\r\n" + part);
            connection->after(delay, [connection] { connection->reset(); });
        },
        std::string(requestBytes, 'x'));
    if (path == RunsOnce) {
        CHECK(broken.m_asked == 1);
        CHECK((broken.isOwnFailure() || !broken.m_received.looksComplete()));
    } else if (path == Stream) {
        CHECK(broken.m_received.eventIds() == "12");
        CHECK(broken.m_received.looksComplete());
    } else {
        CHECK((broken.isWholeAnswer(path) || !broken.m_received.looksComplete()));
    }
}

TEST_CASE("A whole answer that states its end reaches the caller, although its endpoint resets the connection while it is sent a long request")
{
    // Guards against discarding the answers of endpoints that need not read a request to answer it.
    const std::string path = GENERATE(as<std::string>{}, "/read/x", RunsOnce);
    const std::string rest = GENERATE(as<std::string>{}, "Content-Length: 4\r\n\r\ndone", "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n");
    const Core::Duration delay(GENERATE(0, 1, 20));
    CAPTURE(path, rest, delay.count());
    const BrokenAnswer early(
        path,
        1,
        [&](const std::shared_ptr<ScriptedConnection> &connection) {
            connection->stopReading();
            connection->send("HTTP/1.1 200 OK\r\n" + Sealed + rest);
            connection->after(delay, [connection] { connection->reset(); });
        },
        std::string(8 << 20, 'x'));
    CHECK(early.m_asked == 1);
    CHECK(early.m_received.status() == "200");
    CHECK(early.m_received.looksComplete());
    CHECK(early.m_received.m_body.find("done") != std::string::npos);
}
