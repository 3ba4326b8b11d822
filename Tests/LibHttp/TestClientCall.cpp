/// @file Tests when an answer counts as complete, and what a call reports about its request otherwise.

#include "../Support/LoopbackPeer.h"
#include "LibHttp/ClientCall.h"

#include <catch2/catch.hpp>
#include <thread>

using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

namespace {

/// Makes a call to a server that runs the script and waits for the end of the call.
struct Outcome
{
    std::optional<Http::AnswerHead> m_head;
    std::string m_body;
    std::optional<Http::ClientCallEnd> m_end;

    Outcome(const ScriptedServer::Script &script, Http::ClientCallLimits limits = {})
    {
        Http::EventLoop loop;
        ScriptedServer server(loop, script);
        Http::ClientCallEvents events;
        events.m_onHead = [this](const Http::AnswerHead &head) { m_head = head; };
        events.m_onData = [this](std::string_view bytes) { m_body.append(bytes); };
        events.m_onEnd = [this](const Http::ClientCallEnd &end) { m_end = end; };
        const std::shared_ptr<Http::ClientCall> call =
            std::make_shared<Http::ClientCall>(loop, Core::Address{"127.0.0.1", server.port()}, limits, std::move(events));
        call->start(Http::ClientRequest{"GET", "/", {{"Host", "a"}}, ""});
        REQUIRE(runUntil(loop, [this] { return m_end.has_value(); }));
    }
};

}

TEST_CASE("An answer is complete at its length, at its last chunk, or at a clean close")
{
    const std::string answer = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\n\r\nfull");
    const Outcome outcome([&answer](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(answer);
        connection->close();
    });
    CHECK(outcome.m_end->m_isComplete);
    CHECK(outcome.m_body == "full");
}

TEST_CASE("A truncated answer is not complete")
{
    // An engine crashes while it sends its answer. If the part counted as complete, the caller would take it for the full answer.
    const std::string answer = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfull",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfull");
    const Outcome outcome([&answer](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(answer);
        connection->close();
    });
    CHECK_FALSE(outcome.m_end->m_isComplete);
    CHECK(outcome.m_end->m_wasSent);
}

TEST_CASE("An answer that ends within its head has no head and is not complete, wherever it ends")
{
    // Guards against a success with an empty body, framed as whole, that the endpoint has not sent.
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nAttempt: 1\r\n\r\n";
    const bool isReset = GENERATE(false, true);
    for (std::size_t length = 0; length < head.size(); ++length) {
        CAPTURE(isReset, length);
        const Outcome outcome([&](const std::shared_ptr<ScriptedConnection> &connection) {
            connection->send(head.substr(0, length));
            if (isReset) {
                connection->reset();
            } else {
                connection->close();
            }
        });
        CHECK_FALSE(outcome.m_head);
        CHECK(outcome.m_body.empty());
        CHECK_FALSE(outcome.m_end->m_isComplete);
    }
}

TEST_CASE("An answer without a length that ends in a reset is not complete")
{
    const Outcome outcome([](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\n\r\nfull");
        connection->reset();
    });
    CHECK_FALSE(outcome.m_end->m_isComplete);
}

TEST_CASE("Bytes that are not an HTTP answer are reported as Corrupt, and a closed connection as Ambiguous")
{
    const Outcome garbage([](const std::shared_ptr<ScriptedConnection> &connection) { connection->send("\x01\x02garbage\r\n\r\n"); });
    CHECK(garbage.m_end->m_error.m_code == Core::ErrorCode::Corrupt);
    const Outcome broken([](const std::shared_ptr<ScriptedConnection> &connection) { connection->close(); });
    CHECK(broken.m_end->m_error.m_code == Core::ErrorCode::Ambiguous);
    CHECK(broken.m_end->m_wasSent);
}

TEST_CASE("An answer in a transfer coding other than chunks is reported as Corrupt")
{
    // Guards against passing the coded bytes on as the body.
    const std::string coding = GENERATE("gzip", "gzip, chunked", "identity");
    const Outcome outcome([&coding](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: " + coding + "\r\n\r\n4\r\nfull\r\n0\r\n\r\n");
        connection->close();
    });
    CHECK(outcome.m_end->m_error.m_code == Core::ErrorCode::Corrupt);
    CHECK(outcome.m_body.empty());
}

TEST_CASE("A call to a peer that accepts the connection and sends nothing times out")
{
    Http::ClientCallLimits limits;
    limits.m_headTimeout = Core::Duration(40);
    const Outcome outcome([](const std::shared_ptr<ScriptedConnection> &) {}, limits);
    CHECK(outcome.m_end->m_error.m_code == Core::ErrorCode::Timeout);
    CHECK(outcome.m_end->m_wasSent);
}

TEST_CASE("A request to a port without a listener fails with Unavailable")
{
    Http::EventLoop loop;
    std::uint16_t port = 0;
    {
        boost::asio::ip::tcp::acceptor acceptor(loop, TestSupport::loopback(0));
        port = acceptor.local_endpoint().port();
    }
    std::optional<Core::Result<Http::CompleteAnswer>> result;
    Http::fetch(loop, Core::Address{"127.0.0.1", port}, Http::ClientRequest{}, {}, 100, [&result](Core::Result<Http::CompleteAnswer> answer) {
        result = std::move(answer);
    });
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    CHECK(result->error().m_code == Core::ErrorCode::Unavailable);
}

TEST_CASE("A connection that is not established within its time limit is reported as Timeout")
{
    // Guards against taking a peer that is frozen or cut off for one that is not running, which refuses connections at once.
    Http::EventLoop loop;
    boost::asio::ip::tcp::acceptor acceptor(loop);
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.bind(TestSupport::loopback(0));
    acceptor.listen(0);
    constexpr std::size_t backlogConnections = 4; // More than an unaccepted backlog of this length takes. The system drops further attempts.
    std::vector<Http::Socket> backlog;
    for (std::size_t index = 0; index < backlogConnections; ++index) {
        backlog.emplace_back(loop).async_connect(acceptor.local_endpoint(), [](const boost::system::error_code &) {});
    }
    runUntil(
        loop, [] { return false; }, std::chrono::milliseconds(20));
    Http::ClientCallLimits limits;
    limits.m_connectTimeout = Core::Duration(50);
    std::optional<Core::Result<Http::CompleteAnswer>> result;
    Http::fetch(loop,
                Core::Address{"127.0.0.1", acceptor.local_endpoint().port()},
                Http::ClientRequest{},
                limits,
                100,
                [&result](Core::Result<Http::CompleteAnswer> answer) { result = std::move(answer); });
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    CHECK(result->error().m_code == Core::ErrorCode::Timeout);
}

namespace {

constexpr Core::Duration IdleLimit{40};
constexpr Core::Duration StallTime = 2 * IdleLimit; ///< For which the process does not run.

/// Runs a call whose process stalls for longer than the idle limit. Meanwhile the peer sends @p duringStall, and some time later @p afterStall.
Http::ClientCallEnd callWithStall(const std::string &duringStall, const std::string &afterStall)
{
    Http::EventLoop loop;
    Http::Timer stall(loop);
    Http::Timer rest(loop);
    ScriptedServer server(loop, [&](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhead\r\n");
        stall.expires_after(IdleLimit / 4);
        stall.async_wait([&, connection](const boost::system::error_code &) {
            connection->send(duringStall);
            std::this_thread::sleep_for(StallTime);
            rest.expires_after(IdleLimit / 4);
            rest.async_wait([&, connection](const boost::system::error_code &) { connection->send(afterStall); });
        });
    });
    std::optional<Http::ClientCallEnd> result;
    Http::ClientCallEvents events;
    events.m_onEnd = [&result](const Http::ClientCallEnd &end) { result = end; };
    Http::ClientCallLimits limits;
    limits.m_idleTimeout = IdleLimit;
    const std::shared_ptr<Http::ClientCall> call =
        std::make_shared<Http::ClientCall>(loop, Core::Address{"127.0.0.1", server.port()}, limits, std::move(events));
    call->start(Http::ClientRequest{"GET", "/", {{"Host", "a"}}, ""});
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    return *result;
}

}

TEST_CASE("A peer that sent data while this process was stalled has not timed out")
{
    // Guards against an entry that got no processor time and then gives up all of its streams, although the engines did not pause.
    CHECK(callWithStall("4\r\nbody\r\n", "0\r\n\r\n").m_isComplete);
}

TEST_CASE("A peer that sent nothing while this process was stalled has timed out")
{
    const Http::ClientCallEnd end = callWithStall("", "0\r\n\r\n");
    CHECK_FALSE(end.m_isComplete);
    CHECK(end.m_error.m_code == Core::ErrorCode::Timeout);
}

namespace {

/// Sends @p piece again and again until the peer closes the connection.
ScriptedServer::Script sendingWithoutEnd(Http::EventLoop *&loop, bool &wasClosed, const std::string &start, const std::string &piece)
{
    return [&loop, &wasClosed, start, piece](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send(start);
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(*loop);
        const std::shared_ptr<std::function<void()>> sendNext = std::make_shared<std::function<void()>>();
        *sendNext = [&wasClosed, connection, timer, piece, sendNext] {
            wasClosed = connection->isDisconnected();
            if (wasClosed) {
                return;
            }
            connection->send(piece);
            timer->expires_after(Core::Duration(1));
            timer->async_wait([sendNext](const boost::system::error_code &error) {
                if (!error) {
                    (*sendNext)();
                }
            });
        };
        (*sendNext)();
    };
}

Core::Result<Http::CompleteAnswer> fetchFrom(const std::string &start, const std::string &piece, Http::ClientCallLimits limits, bool &wasClosed)
{
    Http::EventLoop loop;
    Http::EventLoop *script = &loop;
    ScriptedServer server(loop, sendingWithoutEnd(script, wasClosed, start, piece));
    std::optional<Core::Result<Http::CompleteAnswer>> result;
    constexpr std::size_t maximumBytes = 64 << 10;
    const std::shared_ptr<Http::ClientCall> call = Http::fetch(
        loop, Core::Address{"127.0.0.1", server.port()}, Http::ClientRequest{}, limits, maximumBytes, [&result](Core::Result<Http::CompleteAnswer> answer) {
            result = std::move(answer);
        });
    REQUIRE(runUntil(loop, [&result, &wasClosed] { return result.has_value() && wasClosed; }));
    return *result;
}

}

TEST_CASE("A head, a body, or chunk sizes without an end are given up and their connection is closed")
{
    // Guards against a peer in trouble that sends bytes until the caller closes.
    const std::string start = GENERATE("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;");
    const bool isHead = start.find("\r\n\r\n") == std::string::npos;
    bool wasClosed = false;
    const Core::Result<Http::CompleteAnswer> answer = fetchFrom(start, (isHead ? "X: " : "") + std::string(2000, 'x') + (isHead ? "\r\n" : ""), {}, wasClosed);
    CAPTURE(start);
    CHECK_FALSE(answer);
    CHECK(wasClosed);
}

TEST_CASE("A body that comes byte by byte without an end is given up after its time")
{
    Http::ClientCallLimits limits;
    limits.m_bodyTimeout = Core::Duration(100);
    bool wasClosed = false;
    CHECK_FALSE(fetchFrom("HTTP/1.1 200 OK\r\n\r\n", "x", limits, wasClosed));
}

TEST_CASE("Answers that are read at the same time hold no more memory together than they may")
{
    // Guards against a process whose memory the answers of all its calls exceed together, although each is within its limit.
    constexpr std::size_t calls = 8;
    constexpr std::size_t bodyBytes = 100000;
    Http::EventLoop loop;
    TestSupport::ScriptedServer server(loop, [](const std::shared_ptr<TestSupport::ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + std::string(bodyBytes, 'x'));
    });
    const std::shared_ptr<Core::ByteBudget> memory = std::make_shared<Core::ByteBudget>(3 * bodyBytes);
    const Http::ClientCallLimits limits{Core::Duration(500), Core::Duration(500), Core::Duration(500)};
    std::size_t failures = 0;
    for (std::size_t count = 0; count < calls; ++count) {
        Http::fetch(
            loop,
            Core::Address{"127.0.0.1", server.port()},
            Http::ClientRequest{},
            limits,
            1000000,
            [&failures](const Core::Result<Http::CompleteAnswer> &answer) { failures += answer ? 0 : 1; },
            memory);
    }
    CHECK(TestSupport::runUntil(loop, [&failures] { return failures == calls; }));
    CHECK(memory->peak() <= memory->limit());
    CHECK(TestSupport::runUntil(loop, [&memory] { return memory->held() == 0; }));
}
