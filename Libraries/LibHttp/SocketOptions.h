/// @file Options of every TCP connection that a process opens or accepts.
#pragma once

#include "LibHttp/EventLoop.h"

namespace Http {

/**
 * Sends small writes without delay and fails connections whose peer acknowledges nothing.
 *
 * If a peer loses its power or its network path, the operating system retransmits for minutes before it reports an error. The user timeout
 * reports the error within a few seconds.
 */
void setStreamOptions(Socket &socket);

}
