/// @file Serves the administrative pages of a process on its event loop.
#pragma once

#include "LibHttp/ServerConnection.h"
#include "LibTelemetry/AdminServer.h"

namespace Http {

/// Answers @p request on @p connection with the matching page.
void answerAdminRequest(const Telemetry::AdminServer &pages, ServerConnection &connection, const ServerRequest &request);

}
