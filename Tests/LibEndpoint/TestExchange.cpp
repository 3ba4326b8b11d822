/// @file Tests that an answer which a local endpoint has cut is not taken for a complete one.

#include "../Support/LoopbackPeer.h"
#include "LibEndpoint/Exchange.h"

#include <catch2/catch.hpp>
#include <thread>

using TestSupport::ScriptedConnection;
using TestSupport::ScriptedServer;

namespace {

/// Answers every request with the bytes and closes the connection. Runs on a thread of its own, because an exchange blocks.
class Peer
{
public:
    explicit Peer(const std::string &answer)
        : m_server(m_loop,
                   [answer](const std::shared_ptr<ScriptedConnection> &connection) {
                       connection->send(answer);
                       connection->close();
                   })
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~Peer()
    {
        m_loop.stop();
        m_thread.join();
    }

    Peer(const Peer &) = delete;
    Peer &operator=(const Peer &) = delete;

    Core::Result<std::string> readAll() const
    {
        const std::unique_ptr<Endpoint::Exchange> exchange = BOOST_OUTCOME_TRYX(Endpoint::Exchange::open({},
                                                                                                         Core::Address{"127.0.0.1", m_server.port()},
                                                                                                         Endpoint::textRequest("GET", "/", ""),
                                                                                                         Core::Duration(5000),
                                                                                                         std::make_shared<Endpoint::AbortHandle>()));
        constexpr std::size_t maximumBytes = 100;
        return exchange->readAll(maximumBytes);
    }

private:
    Http::EventLoop m_loop;
    ScriptedServer m_server;
    std::thread m_thread;
};

}

TEST_CASE("An endpoint's complete answer is read")
{
    const std::string answer = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfull",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nfu\r\n2;note=x\r\nll\r\n0\r\nTrailer: t\r\n\r\n");
    CAPTURE(answer);
    const Core::Result<std::string> body = Peer(answer).readAll();
    REQUIRE(body);
    CHECK(body.value() == "full");
}

TEST_CASE("An endpoint's answer that ends within its head fails, wherever it ends")
{
    // Guards against a success with an empty body, framed as whole, that the endpoint has not sent.
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    for (std::size_t length = 0; length < head.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(Peer(head.substr(0, length)).readAll());
    }
    CHECK(Peer(head).readAll());
}

TEST_CASE("An endpoint's answer that is cut, or whose end cannot be told from a cut, fails")
{
    const std::string answer = GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfull",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nfull",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n4\r",
                                        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                                        "HTTP/1.1 200 OK\r\n\r\nfull");
    CAPTURE(answer);
    const Core::Result<std::string> body = Peer(answer).readAll();
    REQUIRE_FALSE(body);
    CHECK(body.error().m_code == Core::ErrorCode::Ambiguous);
}
