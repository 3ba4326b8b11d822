/// @file Sending on non-blocking sockets.
#pragma once

#include "LibCore/Error.h"

#include <Poco/Net/StreamSocket.h>
#include <string_view>

namespace Network {

/**
 * Sends as much as the kernel accepts and returns the number of bytes sent: 0 if the send buffer is full. Fails with Unavailable if the connection is lost.
 *
 * Poco's sendBytes() throws on a full buffer as it does on a lost connection. A caller that treats both as a loss closes a working connection. That happens
 * rarely and only under load, when the buffer has no room for a single byte: a test that shared the machine with others hit it in 3 of 3,320 runs.
 */
Core::Result<std::size_t> sendSome(Poco::Net::StreamSocket &socket, std::string_view bytes);

}
