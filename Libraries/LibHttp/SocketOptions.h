/// @file Options and state of the TCP connections that a process opens or accepts.
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

/// Returns whether bytes, the end of the peer's stream, or the error of a broken connection wait to be read. False while the connection is being established.
bool hasUnreadInput(Socket &socket);

/// Returns whether the peer has closed its side of the connection, also while bytes that it sent before wait to be read.
bool hasPeerClosed(Socket &socket);

}
