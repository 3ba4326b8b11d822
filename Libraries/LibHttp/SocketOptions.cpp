/// @file Implementation of the socket options.

#include "LibHttp/SocketOptions.h"

#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace Http {

namespace {

constexpr int UserTimeoutMilliseconds = 3000; ///< Maximum age of unacknowledged data; three times the round trip of a slow link with a full queue.

}

void setStreamOptions(Socket &socket)
{
    boost::system::error_code ignored; // If the option cannot be set, latency suffers but not correctness.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMilliseconds, sizeof(UserTimeoutMilliseconds));
}

bool hasUnreadInput(Socket &socket)
{
    char byte = 0;
    return socket.is_open() && recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

bool hasPeerClosed(Socket &socket)
{
    pollfd descriptor{socket.native_handle(), POLLRDHUP, 0};
    return socket.is_open() && ::poll(&descriptor, 1, 0) > 0;
}

}
