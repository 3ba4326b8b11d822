/// @file Implementation of the gauges for memory.

#include "LibTelemetry/MemoryGauges.h"

namespace Telemetry {

void addMemoryGauges(Metrics &metrics, const std::string &use, const std::shared_ptr<const Core::ByteBudget> &budget)
{
    const std::string label = "{use=\"" + use + "\"}";
    metrics.gauge("memory_held_bytes" + label, [budget] { return static_cast<double>(budget->held()); });
    metrics.gauge("memory_held_peak_bytes" + label, [budget] { return static_cast<double>(budget->peak()); });
    metrics.gauge("memory_limit_bytes" + label, [budget] { return static_cast<double>(budget->limit()); });
}

}
