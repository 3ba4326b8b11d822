/// @file Implementation of sending on non-blocking sockets.

#include "LibNetwork/NonBlocking.h"

#include <Poco/Net/StreamSocketImpl.h>
#include <cerrno>
#include <sys/socket.h>
#include <system_error>

namespace Network {

Core::Result<std::size_t> sendSome(Poco::Net::StreamSocket &socket, std::string_view bytes)
{
    const ssize_t sent = ::send(socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    if (sent >= 0) {
        return static_cast<std::size_t>(sent);
    }
    const int error = errno;
    if (error == EAGAIN || error == EWOULDBLOCK || error == EINTR) {
        return std::size_t{0};
    }
    return Core::makeError(Core::ErrorCode::Unavailable, "send", "", std::generic_category().message(error));
}

}
