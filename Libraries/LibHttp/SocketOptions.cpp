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
    // Unlike a peek, poll() leaves the error of a broken connection to the next read, which would otherwise meet an orderly end.
    pollfd descriptor{socket.native_handle(), POLLIN, 0};
    return socket.is_open() && ::poll(&descriptor, 1, 0) > 0;
}

bool hasPeerClosed(Socket &socket)
{
    pollfd descriptor{socket.native_handle(), POLLRDHUP, 0};
    return socket.is_open() && ::poll(&descriptor, 1, 0) > 0;
}

}
