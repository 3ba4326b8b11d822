/// @file Gauges for the memory that a process holds for its peers.
#pragma once

#include "LibCore/ByteBudget.h"
#include "LibTelemetry/Metrics.h"

#include <memory>
#include <string>

namespace Telemetry {

/// Registers `memory_held_bytes`, `memory_held_peak_bytes` and `memory_limit_bytes` with the label @p use.
void addMemoryGauges(Metrics &metrics, const std::string &use, const std::shared_ptr<const Core::ByteBudget> &budget);

}
