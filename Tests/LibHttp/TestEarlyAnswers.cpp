/// @file Tests of answers that begin before the peer has read the request, and of connections that break meanwhile.

#include "../Support/LoopbackPeer.h"
#include "LibHttp/ClientCall.h"

#include <catch2/catch.hpp>
#include <thread>

using TestSupport::runUntil;
using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

namespace {

constexpr std::size_t UnreadBytes = 8 << 20; ///< More than the kernel takes for a peer that does not read.
constexpr std::size_t ShortBytes = 200 << 10; ///< The kernel takes all of it, in several writes.

/// How a peer that has not read the request ends its connection.
enum class Ending {
    Reset,
    Close, ///< The kernel resets the connection, because the request lies unread.
    ShutDownAndReset, ///< What the peer sends ends in order at once; the reset comes after the delay.
};

/// Sends a request to a peer that reads its head only, answers at once and ends the connection after a delay.
struct EarlyAnswer
{
    std::string m_answer;
    Ending m_ending = Ending::Reset;
    Core::Duration m_delay{0};
    std::size_t m_requestBytes = UnreadBytes;

    Http::ClientCallEnd call() const
    {
        Http::EventLoop loop;
        ScriptedServer server(loop, [this](const std::shared_ptr<ScriptedConnection> &connection) { answer(connection); });
        std::optional<Http::ClientCallEnd> result;
        Http::ClientCallEvents events;
        events.m_onEnd = [&result](const Http::ClientCallEnd &end) { result = end; };
        const std::shared_ptr<Http::ClientCall> call =
            std::make_shared<Http::ClientCall>(loop, Core::Address{"127.0.0.1", server.port()}, Http::ClientCallLimits{}, std::move(events));
        call->start(Http::ClientRequest{"POST", "/", {{"Host", "a"}}, std::string(m_requestBytes, 'x')});
        REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
        return *result;
    }

private:
    void answer(const std::shared_ptr<ScriptedConnection> &connection) const
    {
        connection->stopReading();
        connection->send(m_answer);
        if (m_ending == Ending::ShutDownAndReset) {
            connection->shutDownSending();
        }
        connection->after(m_delay, [this, connection] { endConnection(*connection); });
    }

    void endConnection(ScriptedConnection &connection) const
    {
        if (m_ending == Ending::Close) {
            connection.close();
        } else {
            connection.reset();
        }
    }
};

}

TEST_CASE("A part of an answer without a length is not complete if the connection is reset while the request is sent")
{
    // Guards against a reset that only the write of the request sees, so that reading the answer meets an orderly end.
    const std::string head = GENERATE("HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n");
    EarlyAnswer early;
    early.m_answer = head + "partial";
    early.m_ending = GENERATE(Ending::Reset, Ending::Close);
    early.m_delay = Core::Duration(GENERATE(0, 1, 20, 200));
    early.m_requestBytes = GENERATE(ShortBytes, UnreadBytes);
    CAPTURE(head, static_cast<int>(early.m_ending), early.m_delay.count(), early.m_requestBytes);
    const Http::ClientCallEnd end = early.call();
    CHECK_FALSE(end.m_isComplete);
    CHECK(end.m_error.m_code == Core::ErrorCode::Ambiguous);
}

TEST_CASE("An answer that states its end is complete when it has ended, although the connection is reset while the request is sent")
{
    // Guards against discarding the whole answers of peers that need not read a request to answer it.
    EarlyAnswer early;
    early.m_answer =
        GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n");
    early.m_ending = GENERATE(Ending::Reset, Ending::Close);
    early.m_delay = Core::Duration(GENERATE(0, 1, 20));
    CAPTURE(early.m_answer, static_cast<int>(early.m_ending), early.m_delay.count());
    CHECK(early.call().m_isComplete);
}

TEST_CASE("A part of an answer that states its end is not complete if the connection is reset while the request is sent")
{
    EarlyAnswer early;
    early.m_answer = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n");
    early.m_ending = GENERATE(Ending::Reset, Ending::Close);
    early.m_delay = Core::Duration(GENERATE(0, 1, 20));
    CAPTURE(early.m_answer, static_cast<int>(early.m_ending), early.m_delay.count());
    CHECK_FALSE(early.call().m_isComplete);
}

TEST_CASE("An answer without a length that ends in order is complete, although its peer resets the connection afterwards")
{
    // Guards against taking the whole answer of a peer that refuses the rest of a request for a part.
    EarlyAnswer early;
    early.m_answer = "HTTP/1.1 200 OK\r\n\r\nwhole";
    early.m_ending = Ending::ShutDownAndReset;
    early.m_delay = Core::Duration(GENERATE(0, 1, 20, 200));
    CAPTURE(early.m_delay.count());
    CHECK(early.call().m_isComplete);
}

TEST_CASE("A reset that comes just before the time limit of a pause is not taken for the end of an answer without a length")
{
    // Guards against a check for unread input that takes the error from the socket, so that reading the answer meets an orderly end.
    constexpr Core::Duration idleLimit{40};
    Http::EventLoop loop;
    Http::Timer stall(loop);
    Http::Timer reset(loop);
    ScriptedServer server(loop, [&](const std::shared_ptr<ScriptedConnection> &connection) {
        connection->send("HTTP/1.1 200 OK\r\n\r\npartial");
        stall.expires_after(idleLimit / 2);
        reset.expires_after(idleLimit / 2 + Core::Duration(1));
        // After the stall both timers have expired, so that no event of the socket is handled between the reset and the end of the pause.
        stall.async_wait([&](const boost::system::error_code &) { std::this_thread::sleep_for(2 * idleLimit); });
        reset.async_wait([connection](const boost::system::error_code &) { connection->reset(); });
    });
    std::optional<Http::ClientCallEnd> result;
    Http::ClientCallEvents events;
    events.m_onEnd = [&result](const Http::ClientCallEnd &end) { result = end; };
    events.m_onSilence = [] { return false; };
    Http::ClientCallLimits limits;
    limits.m_idleTimeout = idleLimit;
    const std::shared_ptr<Http::ClientCall> call =
        std::make_shared<Http::ClientCall>(loop, Core::Address{"127.0.0.1", server.port()}, limits, std::move(events));
    call->start(Http::ClientRequest{"GET", "/", {{"Host", "a"}}, ""});
    REQUIRE(runUntil(loop, [&result] { return result.has_value(); }));
    CHECK_FALSE(result->m_isComplete);
}
