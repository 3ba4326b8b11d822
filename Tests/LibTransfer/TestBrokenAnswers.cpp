/// @file Tests that a broken answer of the origin is neither a chunk nor a manifest.

#include "../Support/LoopbackPeer.h"
#include "LibTransfer/OriginClient.h"

#include <catch2/catch.hpp>
#include <thread>

using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

namespace {

/// An origin that answers every request with the bytes and ends the connection. Runs on a thread of its own, because its client blocks.
class Origin
{
public:
    Origin(const std::string &answer, bool isReset)
        : m_server(m_loop,
                   [answer, isReset](const std::shared_ptr<ScriptedConnection> &connection) {
                       connection->send(answer);
                       if (isReset) {
                           connection->reset();
                       } else {
                           connection->close();
                       }
                   })
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~Origin()
    {
        m_loop.stop();
        m_thread.join();
    }

    Origin(const Origin &) = delete;
    Origin &operator=(const Origin &) = delete;

    /// Downloads a chunk of eight bytes.
    Core::Result<std::string> readChunk() const
    {
        constexpr std::uint32_t chunkBytes = 8;
        Transfer::OriginDialect dialect;
        dialect.m_makeChunkRequest = [](const Transfer::OriginChunk &) { return Transfer::OriginRequest{"/chunk", "", 200}; };
        Network::SocketInterrupter interrupter;
        Transfer::OriginClient client({}, Core::Address{"127.0.0.1", m_server.port()}, {}, dialect, interrupter);
        return client.readChunk(Transfer::OriginChunk{"drafts", "1", 0, 0, chunkBytes});
    }

private:
    Http::EventLoop m_loop;
    ScriptedServer m_server;
    std::thread m_thread;
};

}

TEST_CASE("A chunk whose answer has a status other than the expected one, or an invalid one, fails")
{
    const std::string status = GENERATE("000", "001", "099", "201", "206", "500", "600", "999", "20", "2000");
    CAPTURE(status);
    CHECK_FALSE(Origin("HTTP/1.1 " + status + " Broken\r\nContent-Length: 8\r\n\r\nevilevil", false).readChunk());
}

TEST_CASE("A chunk whose answer breaks off fails, however it states its end")
{
    const std::string head = GENERATE("Content-Length: 8\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\n", "Connection: close\r\n\r\n");
    const bool isReset = GENERATE(false, true);
    CAPTURE(head, isReset);
    CHECK_FALSE(Origin("HTTP/1.1 200 OK\r\n" + head + "part", isReset).readChunk());
}

TEST_CASE("A chunk is downloaded whole, however its answer states its end")
{
    const std::string head = GENERATE("Content-Length: 8\r\n\r\n", "Connection: close\r\n\r\n");
    CAPTURE(head);
    const Core::Result<std::string> chunk = Origin("HTTP/1.1 200 OK\r\n" + head + "complete", false).readChunk();
    REQUIRE(chunk);
    CHECK(chunk.value() == "complete");
}
