/// @file Tests how the server handles requests that are slow, too large, ambiguous or malformed.

#include "../Support/LoopbackPeer.h"
#include "LibHttp/Listener.h"

#include <catch2/catch.hpp>
#include <thread>

using TestSupport::RawCaller;
using TestSupport::runUntil;

namespace {

/// A server that answers every request with its body and keeps the requests.
struct EchoServer
{
    Http::EventLoop m_loop;
    std::shared_ptr<Http::ServerContext> m_context = std::make_shared<Http::ServerContext>();
    std::vector<Http::ServerRequest> m_requests;
    std::unique_ptr<Http::Listener> m_listener;

    EchoServer()
    {
        m_context->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request) {
            const std::string body = request.m_body.bytes();
            m_requests.push_back(std::move(request));
            connection->answer(200, {}, body);
        };
        m_listener = std::make_unique<Http::Listener>(m_loop, Core::Address{"127.0.0.1", 0}, m_context, 16);
        REQUIRE(m_listener->start());
    }

    /// Sends bytes on a new connection and returns the status of the first answer.
    std::string statusOf(const std::string &bytes)
    {
        RawCaller caller(m_loop, m_listener->port());
        caller.send(bytes);
        REQUIRE(runUntil(m_loop, [&caller] { return caller.received().size() >= 12 || caller.isClosed(); }));
        return caller.received().substr(9, 3);
    }
};

}

TEST_CASE("Pipelined requests on one connection are handled in order")
{
    EchoServer server;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&server] { return server.m_requests.size() == 2; }));
    CHECK(server.m_requests[0].m_body == "one");
    CHECK(server.m_requests[1].m_target == "/2");
}

TEST_CASE("A chunked body is read completely, and none of it is read as a request")
{
    EchoServer server;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5;note=x\r\nGET /\r\n0\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&server] { return !server.m_requests.empty(); }));
    CHECK(server.m_requests[0].m_body == "GET /");
    CHECK(server.m_requests.size() == 1);
}

TEST_CASE("A request with ambiguous framing is rejected and none of its bytes are read as a request")
{
    // Guards against request smuggling: if one server uses the length and the next one the chunks, the rest of the body becomes a request that no
    // caller sent, and it would run in the name of another caller.
    const std::string smuggled = GENERATE("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
                                          "Content-Length: 4\r\nContent-Length: 5\r\n",
                                          "Transfer-Encoding: gzip\r\n",
                                          "Transfer-Encoding: chunked, identity\r\n",
                                          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
                                          "Content-Length: +4\r\n",
                                          "Content-Length: 4 4\r\n",
                                          "Content-Length : 4\r\n");
    CAPTURE(smuggled);
    EchoServer server;
    CHECK(server.statusOf("POST / HTTP/1.1\r\nHost: a\r\n" + smuggled + "\r\nabcd") == "400");
    CHECK(server.m_requests.empty());
}

TEST_CASE("A request without exactly one Host field, or with bare line feeds, is rejected")
{
    EchoServer server;
    CHECK(server.statusOf("GET / HTTP/1.1\r\n\r\n") == "400");
    CHECK(server.statusOf("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n") == "400");
    CHECK(server.statusOf("GET / HTTP/1.1\nHost: a\n\n") == "400");
    CHECK(server.m_requests.empty());
}

TEST_CASE("Requests that are too large or too slow are rejected with the matching status")
{
    EchoServer server;
    server.m_context->m_limits.m_maximumHeaderBytes = 512;
    server.m_context->m_limits.m_maximumBodyBytes = 8;
    server.m_context->m_limits.m_headTimeout = Core::Duration(30);
    CHECK(server.statusOf("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(1000, 'x') + "\r\n\r\n") == "431");
    CHECK(server.statusOf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n123456789") == "413");
    CHECK(server.statusOf("GET / HTTP/1.1\r\nHost:") == "408");
}

TEST_CASE("A listener that had as many connections as it may accepts others once some have closed")
{
    EchoServer server;
    constexpr std::size_t more = 40; // Than the listener accepts at a time.
    for (std::size_t count = 0; count < more; ++count) {
        CHECK(server.statusOf("GET / HTTP/1.1\r\nHost: a\r\n\r\n") == "200");
        runUntil(
            server.m_loop, [] { return false; }, std::chrono::milliseconds(2));
    }
}

TEST_CASE("An aborted answer does not end like a complete one")
{
    Http::EventLoop loop;
    const std::shared_ptr<Http::ServerContext> context = std::make_shared<Http::ServerContext>();
    context->m_onRequest = [](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &) {
        connection->beginAnswer(200, "OK", {}, Http::AnswerFraming{});
        connection->sendBody("half");
        connection->onDrained([connection] { connection->abort(); });
    };
    Http::Listener listener(loop, Core::Address{"127.0.0.1", 0}, context, 4);
    REQUIRE(listener.start());
    RawCaller caller(loop, listener.port());
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(loop, [&caller] { return caller.isClosed(); }));
    CHECK(caller.received().find("half") != std::string::npos);
    CHECK(caller.received().find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("The part of an answer that was sent before it is aborted reaches the caller")
{
    EchoServer server;
    server.m_context->m_onRequest = [](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &) {
        connection->beginAnswer(200, "OK", {}, Http::AnswerFraming{});
        connection->sendBody("half");
        connection->abort();
    };
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(caller.received().ends_with("4\r\nhalf\r\n"));
}

TEST_CASE("An answer that ends with its connection ends in order only if it is finished")
{
    enum class Source { Finishes, Aborts, Vanishes };
    const Source source = GENERATE(Source::Finishes, Source::Aborts, Source::Vanishes);
    const bool isHttp10 = GENERATE(false, true);
    CAPTURE(static_cast<int>(source), isHttp10);
    EchoServer server;
    std::shared_ptr<Http::ServerConnection> answered;
    server.m_context->m_onRequest = [&answered, isHttp10](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &) {
        connection->beginAnswer(200, "OK", {}, Http::AnswerFraming{isHttp10 ? Http::BodyEnd::LastChunk : Http::BodyEnd::Close, std::nullopt});
        connection->sendBody("part");
        answered = connection;
    };
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send(isHttp10 ? "GET / HTTP/1.0\r\nHost: a\r\n\r\n" : "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.received().ends_with("part"); }));
    if (source == Source::Finishes) {
        answered->finish();
    } else if (source == Source::Aborts) {
        answered->abort();
    }
    answered.reset();
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    CHECK(caller.isReset() == (source != Source::Finishes));
    CHECK(caller.received().find("Connection: close") != std::string::npos);
    CHECK(caller.received().ends_with("\r\n\r\npart"));
}

TEST_CASE("An answer to HEAD has no body")
{
    EchoServer server;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("HEAD /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\noneGET /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\ntwo");
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.received().ends_with("two"); }));
    CHECK(caller.received().find("\r\n\r\none") == std::string::npos);
}

TEST_CASE("The server detects a caller that closes its connection before the answer")
{
    Http::EventLoop loop;
    bool isGone = false;
    std::shared_ptr<Http::ServerConnection> kept;
    const std::shared_ptr<Http::ServerContext> context = std::make_shared<Http::ServerContext>();
    context->m_onRequest = [&isGone, &kept](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &) {
        kept = connection;
        connection->onPeerClosed([&isGone] { isGone = true; });
    };
    Http::Listener listener(loop, Core::Address{"127.0.0.1", 0}, context, 4);
    REQUIRE(listener.start());
    RawCaller caller(loop, listener.port());
    caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(loop, [&kept] { return kept != nullptr; }));
    caller.close();
    CHECK(runUntil(loop, [&isGone] { return isGone; }));
}

namespace {

constexpr Core::Duration ShortLimit{40};
constexpr Core::Duration StallTime = 2 * ShortLimit; ///< For which the process does not run.
const std::string SmallRequest = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n";

/// Sends bytes while the process is stalled for longer than the short limit, and runs the server for some time afterwards.
void sendDuringStall(EchoServer &server, RawCaller &caller, const std::string &bytes)
{
    runUntil(
        server.m_loop, [] { return false; }, ShortLimit / 2);
    caller.send(bytes);
    std::this_thread::sleep_for(StallTime);
    runUntil(
        server.m_loop, [] { return false; }, StallTime);
}

std::size_t countAnswers(const RawCaller &caller)
{
    std::size_t count = 0;
    for (std::size_t at = caller.received().find("HTTP/1.1 "); at != std::string::npos; at = caller.received().find("HTTP/1.1 ", at + 1)) {
        ++count;
    }
    return count;
}

}

TEST_CASE("A request that arrives on an idle connection while the process is stalled is answered")
{
    // Guards against a process that closes a connection as idle and loses the request that has arrived on it.
    EchoServer server;
    server.m_context->m_limits.m_idleTimeout = ShortLimit;
    RawCaller caller(server.m_loop, server.m_listener->port());
    sendDuringStall(server, caller, SmallRequest);
    CHECK(server.m_requests.size() == 1);
    CHECK(countAnswers(caller) == 1);
}

TEST_CASE("A request whose head ends while the process is stalled is answered once")
{
    // Guards against a second answer, a 408, to a request that was dispatched.
    EchoServer server;
    server.m_context->m_limits.m_headTimeout = ShortLimit;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send(SmallRequest.substr(0, SmallRequest.size() / 2));
    sendDuringStall(server, caller, SmallRequest.substr(SmallRequest.size() / 2));
    CHECK(server.m_requests.size() == 1);
    CHECK(countAnswers(caller) == 1);
    CHECK(caller.received().substr(0, 12) == "HTTP/1.1 200");
}

TEST_CASE("A request whose body ends while the process is stalled is answered once")
{
    EchoServer server;
    server.m_context->m_limits.m_bodyTimeout = ShortLimit;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\none");
    sendDuringStall(server, caller, "two");
    REQUIRE(server.m_requests.size() == 1);
    CHECK(server.m_requests[0].m_body == "onetwo");
    CHECK(countAnswers(caller) == 1);
}

TEST_CASE("A request that was rejected is not rejected again by the limit on the time of its head")
{
    EchoServer server;
    server.m_context->m_limits.m_headTimeout = ShortLimit;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("GET / HTTP/1.1\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&caller] { return caller.isClosed(); }));
    runUntil(
        server.m_loop, [] { return false; }, ShortLimit * 4);
    CHECK(countAnswers(caller) == 1);
}

TEST_CASE("A caller that closes its connection after it sent another request is noticed while the first one runs")
{
    // Guards against engines that work for a caller who has left.
    EchoServer server;
    std::shared_ptr<Http::ServerConnection> open;
    bool hasLeft = false;
    server.m_context->m_onRequest = [&](const std::shared_ptr<Http::ServerConnection> &connection, const Http::ServerRequest &) {
        open = connection;
        connection->onPeerClosed([&hasLeft] { hasLeft = true; });
    };
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send(SmallRequest);
    REQUIRE(runUntil(server.m_loop, [&open] { return open != nullptr; }));
    caller.send(SmallRequest);
    runUntil(
        server.m_loop, [] { return false; }, ShortLimit);
    CHECK_FALSE(hasLeft);
    caller.close();
    CHECK(runUntil(
        server.m_loop, [&hasLeft] { return hasLeft; }, std::chrono::seconds(2)));
}

TEST_CASE("A connection that is idle when the limit is raised can be reused under the new limit")
{
    // Guards against a process that closes a connection under the limit of a configuration that is no longer in force.
    EchoServer server;
    server.m_context->m_limits.m_idleTimeout = ShortLimit;
    RawCaller caller(server.m_loop, server.m_listener->port());
    caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(runUntil(server.m_loop, [&server] { return server.m_requests.size() == 1; }));
    server.m_context->m_limits.m_idleTimeout = Core::Duration(60000);
    runUntil(
        server.m_loop, [&caller] { return caller.isClosed(); }, ShortLimit * 4);
    REQUIRE_FALSE(caller.isClosed());
    caller.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(runUntil(server.m_loop, [&server] { return server.m_requests.size() == 2; }));
}
