/// @file Listening sockets: exclusive addresses, reuse of released addresses, and free ports.

#include "LibNetwork/Listener.h"

#include <Poco/Net/NetException.h>
#include <catch2/catch.hpp>

namespace {

constexpr int Backlog = 4;

}

TEST_CASE("An address with a listening socket cannot be bound a second time")
{
    // Two processes are started with the same address by mistake, or choose the same free one. If both could listen, the kernel would distribute connections
    // between them. Callers would sometimes reach the wrong process, and would lose their connections when it ends.
    const Core::Address address = Network::freeLoopbackAddress();
    const Poco::Net::ServerSocket first = Network::listenOn(address, Backlog);
    REQUIRE_THROWS_AS(Network::listenOn(address, Backlog), Poco::Net::NetException);
}

TEST_CASE("A released address can be bound again at once while a connection to it lingers")
{
    // A process is killed and restarted while its callers' connections are still closing. It must not have to wait a minute for its own address.
    const Core::Address address = Network::freeLoopbackAddress();
    {
        Poco::Net::ServerSocket first = Network::listenOn(address, Backlog);
        Poco::Net::StreamSocket caller(Poco::Net::SocketAddress(address.m_host, address.m_port));
        Poco::Net::StreamSocket accepted = first.acceptConnection();
        accepted.close();
    }
    REQUIRE_NOTHROW(Network::listenOn(address, Backlog));
}

TEST_CASE("Listeners on port 0 get different ports")
{
    const std::string host = Network::freeLoopbackAddress().m_host;
    const Poco::Net::ServerSocket first = Network::listenOn(Core::Address{host, 0}, Backlog);
    const Poco::Net::ServerSocket second = Network::listenOn(Core::Address{host, 0}, Backlog);
    CHECK(first.address().port() != second.address().port());
}
