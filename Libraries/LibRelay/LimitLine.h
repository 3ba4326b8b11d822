/// @file The log line about an endpoint that has become limited or unlimited.
#pragma once

#include "LibPlacement/RequestLimits.h"
#include "LibTelemetry/EventLog.h"

namespace Relay {

/// Returns the line with the endpoint's limit and this process's share of it. @p source: how this process learned of it, "answer" or "peer".
Telemetry::LogLine limitLine(const Fleet::Endpoint &endpoint, const Placement::RequestLimits &limits, std::string_view source);

}
