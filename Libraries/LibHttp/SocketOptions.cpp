/// @file Implementation of the options of connections.

#include "LibHttp/SocketOptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

namespace {

constexpr int UserTimeoutMilliseconds = 3000; ///< Unacknowledged data for so long: three times a slow link's round trip with its queue.

}

void setStreamOptions(Socket &socket)
{
    boost::system::error_code ignored; // An option that cannot be set costs latency, not correctness.
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMilliseconds, sizeof(UserTimeoutMilliseconds));
}

}
