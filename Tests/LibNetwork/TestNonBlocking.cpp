/// @file Sending on non-blocking sockets.

#include "LibCore/Clock.h"
#include "LibNetwork/Listener.h"
#include "LibNetwork/NonBlocking.h"

#include <catch2/catch.hpp>
#include <thread>

namespace {

constexpr int Backlog = 4;

/// Both ends of a connection; the near end does not block.
struct Connection
{
    Poco::Net::ServerSocket m_listener = Network::listenOn(Network::freeLoopbackAddress(), Backlog);
    Poco::Net::StreamSocket m_near{m_listener.address()};
    Poco::Net::StreamSocket m_far = m_listener.acceptConnection();

    Connection()
    {
        m_near.setBlocking(false);
    }
};

}

TEST_CASE("A full send buffer is not reported as a lost connection")
{
    // The peer reads slowly and the kernel accepts no more bytes. If that is treated as a lost connection, a working connection is closed and the peer misses
    // the end of the data.
    Connection connection;
    const std::string bytes(1 << 16, 'x');
    std::size_t sent = 0;
    Core::Result<std::size_t> last = Network::sendSome(connection.m_near, bytes);
    while (last && last.value() > 0) {
        sent += last.value();
        last = Network::sendSome(connection.m_near, bytes);
    }
    REQUIRE(last);
    REQUIRE(last.value() == 0);
    std::size_t received = 0;
    std::string buffer(bytes.size(), '\0');
    while (received < sent) {
        received += static_cast<std::size_t>(connection.m_far.receiveBytes(buffer.data(), static_cast<int>(buffer.size())));
    }
    last = Network::sendSome(connection.m_near, "more");
    REQUIRE(last);
    CHECK(last.value() == 4);
}

TEST_CASE("A lost connection is reported as an error")
{
    Connection connection;
    connection.m_far.setLinger(true, 0);
    connection.m_far.close();
    Core::Result<std::size_t> last = Network::sendSome(connection.m_near, "first");
    for (int attempt = 0; last && attempt < 1000; ++attempt) {
        std::this_thread::sleep_for(Core::Duration(1));
        last = Network::sendSome(connection.m_near, "again");
    }
    REQUIRE(!last);
    CHECK(last.error().m_step == "send");
}
