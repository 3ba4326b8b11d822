/// @file Listening sockets with exclusive addresses, and choice of free loopback addresses.
#pragma once

#include "LibCore/Address.h"

#include <Poco/Net/ServerSocket.h>

namespace Network {

/**
 * Listens on the address; port 0 selects a free port. Throws Poco::Exception, also if another socket already listens on the address.
 *
 * Poco's own constructor lets several processes listen on one address, and the kernel then distributes connections among them. A client may reach the
 * wrong process, and its connection ends when that process does.
 */
Poco::Net::ServerSocket listenOn(const Core::Address &address, int backlog);

/**
 * Returns a loopback address on which no socket listens, for processes that are started afterwards.
 *
 * The host is specific to this process. With a common host, two processes could find the same free port before either listens on it.
 */
Core::Address freeLoopbackAddress();

}
