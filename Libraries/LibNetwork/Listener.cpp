/// @file Implementation of the listening sockets.

#include "LibNetwork/Listener.h"

#include <unistd.h>

namespace Network {

namespace {

constexpr int ProbeBacklog = 1;

/// Returns a host derived from the process id: 127.(224 to 255).x.y, a range that no fixed address uses.
std::string processLoopbackHost()
{
    constexpr std::uint32_t firstBlock = 224;
    constexpr std::uint32_t blocks = 32;
    constexpr std::uint32_t numbers = 256;
    const std::uint32_t process = static_cast<std::uint32_t>(::getpid());
    const std::uint32_t block = firstBlock + process / (numbers * numbers) % blocks;
    return "127." + std::to_string(block) + "." + std::to_string(process / numbers % numbers) + "." + std::to_string(process % numbers);
}

}

Poco::Net::ServerSocket listenOn(const Core::Address &address, int backlog)
{
    // Connections that are still closing keep an address in use after its listener is closed. With address reuse, the next listener can bind it at once. A port
    // that the kernel selects has no such connections, and it is exclusive to the caller only if address reuse is off.
    const bool reusesAddress = address.m_port != 0;
    Poco::Net::ServerSocket socket;
    socket.bind(Poco::Net::SocketAddress(address.m_host, address.m_port), reusesAddress, false);
    socket.listen(backlog);
    return socket;
}

Core::Address freeLoopbackAddress()
{
    const std::string host = processLoopbackHost();
    const Poco::Net::ServerSocket socket = listenOn(Core::Address{host, 0}, ProbeBacklog);
    return Core::Address{host, socket.address().port()};
}

}
