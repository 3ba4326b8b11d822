/// @file Describes a retry budget in a log line.
#pragma once

#include "LibPlacement/RetryBudgets.h"
#include "LibTelemetry/EventLog.h"

namespace Relay {

/// Returns a line of the event @p name with this process's part of the budget of a service.
Telemetry::LogLine retryBudgetLine(const std::string &name, const Placement::RetryBudgetState &state);

}
