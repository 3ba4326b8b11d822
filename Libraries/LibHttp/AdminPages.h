/// @file Serves a process's administrative pages on its event loop.
#pragma once

#include "LibHttp/ServerConnection.h"
#include "LibTelemetry/AdminServer.h"

namespace Http {

void answerAdminRequest(const Telemetry::AdminServer &pages, ServerConnection &connection, const ServerRequest &request);

}
