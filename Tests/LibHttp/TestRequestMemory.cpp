/// @file Tests how the server limits what the requests and answers of all its connections hold.

#include "../Support/LoopbackPeer.h"
#include "LibHttp/Listener.h"

#include <catch2/catch.hpp>

using TestSupport::RawCaller;
using TestSupport::runUntil;

namespace {

constexpr std::size_t LimitBytes = 1 << 20;
constexpr std::size_t LargeBytes = 400 << 10; ///< Large requests may fill three quarters of the limit, so that only one of these fits.
constexpr std::size_t Connections = 64;

/// A server with little memory, which keeps requests open until they are released.
struct SmallServer
{
    Http::EventLoop m_loop;
    std::shared_ptr<Http::ServerContext> m_context = std::make_shared<Http::ServerContext>();
    std::vector<std::pair<std::shared_ptr<Http::ServerConnection>, Http::ServerRequest>> m_open;
    std::vector<Http::MemoryShortage> m_shortages;
    std::unique_ptr<Http::Listener> m_listener;

    SmallServer()
    {
        Http::RequestMemorySettings settings;
        settings.m_limitBytes = LimitBytes;
        m_context->m_requestMemory = std::make_shared<Http::RequestMemory>(m_loop, settings);
        m_context->m_answerMemory = std::make_shared<Core::ByteBudget>(LimitBytes);
        m_context->m_onRequest = [this](const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request) {
            m_open.emplace_back(connection, std::move(request));
        };
        m_context->m_maximumMemoryWait = [](const Http::ServerRequest &) { return Core::Duration(10000); };
        m_context->m_onMemoryRefused = [this](const Http::ServerRequest &, const Http::MemoryShortage &shortage) {
            m_shortages.push_back(shortage);
            return Core::Duration(1500);
        };
        m_listener = std::make_unique<Http::Listener>(m_loop, Core::Address{"127.0.0.1", 0}, m_context, Connections);
        REQUIRE(m_listener->start());
    }

    std::unique_ptr<RawCaller> send(const std::string &bytes)
    {
        std::unique_ptr<RawCaller> caller = std::make_unique<RawCaller>(m_loop, m_listener->port());
        caller->send(bytes);
        return caller;
    }

    const Core::ByteBudget &budget() const
    {
        return m_context->m_requestMemory->budget();
    }

    /// Answers the oldest open request.
    void answerFirst()
    {
        m_open.front().first->answer(200, {}, "done");
        m_open.erase(m_open.begin());
    }

    bool awaitOpen(std::size_t count)
    {
        return runUntil(m_loop, [this, count] { return m_open.size() == count; });
    }
};

std::string post(std::size_t bodyBytes, std::size_t sentBytes)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(sentBytes, 'w');
}

std::string post(std::size_t bodyBytes)
{
    return post(bodyBytes, bodyBytes);
}

std::string statusOf(const RawCaller &caller)
{
    return caller.received().substr(0, 12);
}

}

TEST_CASE("A connection holds nothing of a request that was answered")
{
    // Guards against connections that keep the bodies of their last requests while they are idle.
    SmallServer server;
    const std::unique_ptr<RawCaller> caller = server.send(post(LargeBytes));
    REQUIRE(server.awaitOpen(1));
    CHECK(server.budget().held() > LargeBytes);
    server.answerFirst();
    REQUIRE(runUntil(server.m_loop, [&caller] { return !caller->received().empty(); }));
    CHECK(server.budget().held() == 0);
}

TEST_CASE("A large request waits unread until memory is given back, and small ones do not wait for it")
{
    // Guards against a process whose memory the bodies of all callers exceed together.
    SmallServer server;
    const std::unique_ptr<RawCaller> first = server.send(post(LargeBytes));
    REQUIRE(server.awaitOpen(1));
    const std::unique_ptr<RawCaller> second = server.send(post(LargeBytes, 10));
    REQUIRE(runUntil(server.m_loop, [&server] { return server.m_context->m_requestMemory->waitingCount() == 1; }));
    const std::unique_ptr<RawCaller> small = server.send(post(10));
    REQUIRE(server.awaitOpen(2));
    CHECK(server.m_open.back().second.m_body.size() == 10);
    server.answerFirst();
    REQUIRE(runUntil(server.m_loop, [&server] { return server.m_context->m_requestMemory->waitingCount() == 0; }));
    second->send(std::string(LargeBytes - 10, 'w'));
    REQUIRE(server.awaitOpen(2));
    CHECK(server.m_open.back().second.m_body.size() == LargeBytes);
    CHECK(server.budget().peak() <= LimitBytes);
}

TEST_CASE("A request that gets no memory in time is refused with Retry-After, and its caller can read that while it still sends")
{
    SmallServer server;
    server.m_context->m_maximumMemoryWait = [](const Http::ServerRequest &) { return Core::Duration(50); };
    const std::unique_ptr<RawCaller> first = server.send(post(LargeBytes));
    REQUIRE(server.awaitOpen(1));
    const std::unique_ptr<RawCaller> second = server.send(post(LargeBytes, LargeBytes / 2)); // The server leaves most of it unread.
    REQUIRE(runUntil(server.m_loop, [&second] { return !second->received().empty(); }));
    second->send(std::string(LargeBytes / 2, 'w'));
    CHECK(statusOf(*second) == "HTTP/1.1 503");
    CHECK(second->received().find("Retry-After: 1.50\r\n") != std::string::npos);
    REQUIRE(runUntil(server.m_loop, [&second] { return second->isClosed(); }));
    CHECK_FALSE(second->isReset());
    REQUIRE(server.m_shortages.size() == 1);
    CHECK(server.m_shortages[0].m_waited >= Core::Duration(50));
    CHECK(server.m_shortages[0].m_neededBytes > LargeBytes);
    CHECK(server.m_context->m_requestMemory->waitingCount() == 0);
}

TEST_CASE("A request whose caller cannot wait is refused at once")
{
    SmallServer server;
    server.m_context->m_maximumMemoryWait = [](const Http::ServerRequest &) { return Core::Duration(0); };
    const std::unique_ptr<RawCaller> first = server.send(post(LargeBytes));
    REQUIRE(server.awaitOpen(1));
    const std::unique_ptr<RawCaller> second = server.send(post(LargeBytes, 10));
    REQUIRE(runUntil(server.m_loop, [&second] { return !second->received().empty(); }));
    CHECK(statusOf(*second) == "HTTP/1.1 503");
    REQUIRE(server.m_shortages.size() == 1);
    CHECK(server.m_shortages[0].m_waited == Core::Duration(0));
}

TEST_CASE("A request that waits for memory gives up its place when its connection is closed")
{
    SmallServer server;
    const std::unique_ptr<RawCaller> first = server.send(post(LargeBytes));
    REQUIRE(server.awaitOpen(1));
    std::unique_ptr<RawCaller> second = server.send(post(LargeBytes, 10));
    REQUIRE(runUntil(server.m_loop, [&server] { return server.m_context->m_requestMemory->waitingCount() == 1; }));
    second->close();
    const std::unique_ptr<RawCaller> third = server.send(post(LargeBytes));
    server.answerFirst();
    REQUIRE(server.awaitOpen(1));
    CHECK(server.m_open.front().second.m_body.size() == LargeBytes);
    CHECK(runUntil(server.m_loop, [&server] { return server.budget().held() < 2 * LargeBytes; }));
}

TEST_CASE("A request that is larger than all memory is refused at once, without a time after which to retry")
{
    SmallServer server;
    server.m_context->m_limits.m_maximumBodyBytes = 4 * LimitBytes;
    const std::unique_ptr<RawCaller> caller = server.send(post(2 * LimitBytes, 10));
    REQUIRE(runUntil(server.m_loop, [&caller] { return !caller->received().empty(); }));
    CHECK(statusOf(*caller) == "HTTP/1.1 413");
    CHECK(caller->received().find("Retry-After") == std::string::npos);
}

TEST_CASE("A body of unknown length takes memory as it grows")
{
    // Guards against bodies that escape the limit because they declare no length.
    SmallServer server;
    server.m_context->m_maximumMemoryWait = [](const Http::ServerRequest &) { return Core::Duration(50); };
    std::string body;
    for (std::size_t size = 0; size < LimitBytes - 4096; size += 4096) {
        body += "1000\r\n" + std::string(4096, 'w') + "\r\n";
    }
    const std::unique_ptr<RawCaller> caller = server.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    REQUIRE(runUntil(server.m_loop, [&caller] { return !caller->received().empty(); }));
    CHECK(statusOf(*caller) == "HTTP/1.1 413");
    CHECK(server.budget().peak() <= LimitBytes);

    std::string smallBody;
    for (std::size_t size = 0; size < LargeBytes / 2; size += 4096) {
        smallBody += "1000\r\n" + std::string(4096, 'w') + "\r\n";
    }
    const std::unique_ptr<RawCaller> small = server.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + smallBody + "0\r\n\r\n");
    REQUIRE(server.awaitOpen(1));
    CHECK(server.m_open.front().second.m_body.size() == (LargeBytes / 2 + 4095) / 4096 * 4096);
    CHECK(server.budget().held() > LargeBytes / 2);
}

TEST_CASE("The header of a chunk that does not end is rejected")
{
    // Guards against a single connection whose read buffer grows for as long as its caller sends.
    SmallServer server;
    const std::unique_ptr<RawCaller> caller = server.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;x=" + std::string(64 << 10, 'w'));
    REQUIRE(runUntil(server.m_loop, [&caller] { return !caller->received().empty(); }));
    CHECK(statusOf(*caller) == "HTTP/1.1 400");
}

TEST_CASE("Unfinished heads take memory of the limit, too")
{
    // Guards against many connections that each send a long head.
    SmallServer server;
    constexpr std::size_t headBytes = 14 << 10;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (std::size_t count = 0; count < 48; ++count) {
        callers.push_back(server.send("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(headBytes, 'x')));
    }
    REQUIRE(runUntil(server.m_loop, [&callers] {
        return std::any_of(callers.begin(), callers.end(), [](const std::unique_ptr<RawCaller> &caller) { return statusOf(*caller) == "HTTP/1.1 503"; });
    }));
    CHECK(server.budget().peak() <= LimitBytes);
}

TEST_CASE("The expected wait for memory follows from the rate at which it becomes free")
{
    Http::RequestMemorySettings settings;
    settings.m_limitBytes = 4 << 20;
    Http::EventLoop loop;
    Http::RequestMemory memory(loop, settings);
    Core::ByteReservation first = memory.makeReservation();
    REQUIRE(memory.tryEnlarge(first, 3 << 20));
    CHECK_FALSE(memory.expectedWait(1 << 20, Core::Clock::now()));
    Core::ByteReservation second = memory.makeReservation();
    bool isGranted = false;
    const Core::Instant began = Core::Clock::now();
    memory.await(second, 3 << 20, [&isGranted] { isGranted = true; });
    first.resize(1 << 20);
    CHECK_FALSE(isGranted);
    const std::optional<Core::Duration> wait = memory.expectedWait(1 << 20, began + Core::Duration(2000));
    REQUIRE(wait);
    CHECK(*wait >= Core::Duration(1900)); // Two MiB more are needed than are free, and two became free within two seconds.
    CHECK(*wait <= Core::Duration(2100));
    first.resize(0);
    CHECK_FALSE(isGranted); // Whoever gives bytes back may be in the middle of ending a request.
    loop.run();
    CHECK(isGranted);
}
