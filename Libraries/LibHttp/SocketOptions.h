/// @file Options of every TCP connection that a process makes or accepts.
#pragma once

#include "LibHttp/EventLoop.h"

namespace Http {

/**
 * Sends small writes at once and gives up on peers that acknowledge nothing.
 *
 * A peer that has lost its power or its path answers nothing, and the system would go on sending for minutes. The user timeout turns that
 * silence into an error.
 */
void setStreamOptions(Socket &socket);

}
