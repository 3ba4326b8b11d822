/// @file Tests that a server which ends connections loses neither requests that the kernel has received nor answers that callers have not read.

#include "../Support/LoopbackPeer.h"
#include "LibHttp/Listener.h"

#include <catch2/catch.hpp>

using TestSupport::RawCaller;
using TestSupport::runUntil;

namespace {

constexpr std::size_t MaximumConnections = 4;
constexpr std::size_t LargeBytes = 1 << 20; ///< More than fits into the buffers of a connection.
const std::string Request = "GET /small HTTP/1.1\r\nHost: a\r\n\r\n";
const std::string LargeRequest = "GET /large HTTP/1.1\r\nHost: a\r\n\r\n";

/// A server that answers every request at once with a few bytes, or with many if its target is "/large". Requests to "/held" are answered by the test.
struct EndingServer
{
    Http::EventLoop m_loop;
    std::shared_ptr<Http::ServerContext> m_context = std::make_shared<Http::ServerContext>();
    std::shared_ptr<Http::ServerConnection> m_held;
    std::unique_ptr<Http::Listener> m_listener;

    EndingServer()
    {
        m_context->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &request) {
            if (request.m_target == "/held") {
                m_held = connection;
                connection->beginAnswer(200, "OK", {}, Http::AnswerFraming{});
                return;
            }
            connection->answer(200, {}, std::string(request.m_target == "/large" ? LargeBytes : 3, 'x'));
        };
        m_listener = std::make_unique<Http::Listener>(m_loop, Core::Address{"127.0.0.1", 0}, m_context, MaximumConnections);
        REQUIRE(m_listener->start());
    }

    /// Sends a request whose answer the test ends, and the next request behind it.
    void holdBeforeNext(RawCaller &caller)
    {
        caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
        REQUIRE(runUntil(m_loop, [this] { return m_held != nullptr; }));
        caller.send(Request);
    }

    void run(Core::Duration time)
    {
        runUntil(
            m_loop, [] { return false; }, time);
    }
};

std::size_t countAnswers(const std::string &received, const std::string &status = "200")
{
    std::size_t count = 0;
    for (std::size_t at = received.find("HTTP/1.1 " + status); at != std::string::npos; at = received.find("HTTP/1.1 " + status, at + 1)) {
        ++count;
    }
    return count;
}

/// A caller that reads nothing until it is told to.
class LateReader
{
public:
    LateReader(Http::EventLoop &loop, std::uint16_t port)
        : m_socket(loop)
    {
        m_socket.connect(TestSupport::loopback(port));
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    void read()
    {
        boost::asio::async_read(m_socket, boost::asio::dynamic_buffer(m_received), [this](const boost::system::error_code &error, std::size_t) {
            m_isClosed = true;
            m_isReset = error != boost::asio::error::eof;
            m_socket.close();
        });
    }

    std::string m_received;
    bool m_isClosed = false;
    bool m_isReset = false;

private:
    Http::Socket m_socket;
};

}

TEST_CASE("A request that the kernel holds when idle connections are ended is answered")
{
    // Guards against a reset of a connection that looks idle only because its request has not been read.
    EndingServer server;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send(Request);
    REQUIRE(runUntil(server.m_loop, [&caller] { return countAnswers(caller.received()) == 1; }));
    caller.send(Request);
    server.m_context->m_isClosing = true;
    server.m_listener->endIdle(Core::Duration(0));
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(countAnswers(caller.received()) == 2);
    CHECK(caller.received().find("Connection: close") != std::string::npos);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("A request that was sent before the answer to another one had ended is answered by a server that is closing")
{
    // Guards against a reset that destroys the end of a large answer because the next request was not read.
    EndingServer server;
    RawCaller caller(server.m_loop, server.m_listener->port());
    server.holdBeforeNext(caller);
    server.m_context->m_isClosing = true;
    server.m_held->sendBody(std::string(LargeBytes, 'x'));
    server.m_held->finish();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(caller.received().size() > LargeBytes);
    CHECK(countAnswers(caller.received()) == 2);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("A caller that reads its last answer late gets all of it, whatever it has sent meanwhile")
{
    EndingServer server;
    server.m_context->m_isClosing = true;
    LateReader caller(server.m_loop, server.m_listener->port());
    caller.send(LargeRequest);
    server.run(Core::Duration(400));
    caller.send(Request);
    server.run(Core::Duration(100));
    caller.read();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.m_isClosed; }));
    CHECK(countAnswers(caller.m_received) == 1);
    CHECK(caller.m_received.size() > LargeBytes);
    CHECK_FALSE(caller.m_isReset);
}

TEST_CASE("A connection that is accepted by a server that is closing gets its first request answered")
{
    // Guards against connections that are accepted and closed unread.
    EndingServer server;
    server.m_context->m_isClosing = true;
    RawCaller caller(server.m_loop, server.m_listener->port());
    server.run(Core::Duration(50));
    server.m_listener->endIdle(Core::Duration(500));
    caller.send(Request);
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(countAnswers(caller.received()) == 1);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("A connection that waits in the kernel when the listener stops is served")
{
    EndingServer server;
    server.run(Core::Duration(10));
    const std::uint16_t port = server.m_listener->port();
    RawCaller caller(server.m_loop, port);
    caller.send(Request);
    server.m_context->m_isClosing = true;
    server.m_listener->stop();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(countAnswers(caller.received()) == 1);
    CHECK_FALSE(caller.isReset());
    CHECK_THROWS(RawCaller(server.m_loop, port));
}

TEST_CASE("A connection beyond the maximum is refused with a time after which to retry")
{
    // Guards against a reset, after which a caller cannot tell whether its request has run.
    EndingServer server;
    std::vector<std::unique_ptr<RawCaller>> kept;
    for (std::size_t count = 0; count < MaximumConnections; ++count) {
        kept.push_back(std::make_unique<RawCaller>(server.m_loop, server.m_listener->port()));
        kept.back()->send(Request);
        REQUIRE(runUntil(server.m_loop, [&kept] { return countAnswers(kept.back()->received()) == 1; }));
    }
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send(Request);
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(caller.received().starts_with("HTTP/1.1 503 "));
    CHECK(caller.received().find("Retry-After: 1.00\r\n") != std::string::npos);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("The part of an answer that was sent before it is aborted reaches a caller that has sent its next request")
{
    EndingServer server;
    RawCaller caller(server.m_loop, server.m_listener->port());
    server.holdBeforeNext(caller);
    server.m_held->sendBody(std::string(LargeBytes, 'x'));
    server.m_held->abort();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(caller.received().size() > LargeBytes);
    CHECK(caller.received().find("0\r\n\r\n") == std::string::npos);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("Requests that were sent before the end of an answer that announces the end of the connection are refused and do not run")
{
    // Guards against requests that are read and never answered because the answer before them was the last one.
    EndingServer server;
    std::size_t late = 0;
    server.m_context->m_onLateRequest = [&late](const Http::ServerRequest &) { ++late; };
    server.m_context->m_isClosing = true;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.received().find("Connection: close") != std::string::npos; }));
    caller.send(Request + Request);
    server.run(Core::Duration(50));
    server.m_held->finish();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(countAnswers(caller.received()) == 1);
    CHECK(countAnswers(caller.received(), "503") == 2);
    CHECK(late == 2);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("A caller that goes on sending behind the last answer of its connection is refused a limited number of times")
{
    constexpr std::size_t sent = 100;
    EndingServer server;
    server.m_context->m_isClosing = true;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.received().find("Connection: close") != std::string::npos; }));
    std::string requests;
    for (std::size_t count = 0; count < sent; ++count) {
        requests += Request;
    }
    caller.send(requests);
    server.m_held->finish();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(countAnswers(caller.received(), "503") < sent);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("A request that has not been read completely when the server ends is refused")
{
    EndingServer server;
    const std::string part = GENERATE("GET /small HTTP/1.1\r\nHo", "POST /small HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n123");
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send(part);
    server.run(Core::Duration(50));
    server.m_listener->endUnanswered();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(countAnswers(caller.received(), "503") == 1);
    CHECK_FALSE(caller.isReset());
}

TEST_CASE("The end of a connection before an answer has been written to it is reported, and no other end")
{
    const bool readsAnswer = GENERATE(true, false);
    constexpr std::size_t unbufferedBytes = 32 * LargeBytes;
    EndingServer server;
    std::size_t unsent = 0;
    std::unique_ptr<RawCaller> caller = std::make_unique<RawCaller>(server.m_loop, server.m_listener->port());
    server.holdBeforeNext(*caller);
    server.m_held->onUnsentAnswer([&unsent](std::size_t bytes) { unsent = bytes; });
    server.m_held->sendBody(std::string(unbufferedBytes, 'x'));
    server.m_held->finish();
    if (readsAnswer) {
        REQUIRE(runUntil(server.m_loop, [&caller] { return caller->received().size() > unbufferedBytes && countAnswers(caller->received()) == 2; }));
    }
    caller->close();
    const bool isReported = runUntil(
        server.m_loop, [&unsent] { return unsent > 0; }, std::chrono::milliseconds(readsAnswer ? 200 : 10000));
    CHECK(isReported == !readsAnswer);
    CHECK(unsent <= unbufferedBytes + LargeBytes);
}
