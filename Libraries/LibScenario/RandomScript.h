/// @file Random fault schedules, determined by a seed.
#pragma once

#include "LibScenario/Script.h"

#include <cstdint>

namespace Scenario {

/**
 * Returns a script that injects random faults into a small fleet under load, repairs all of them, and then checks all guarantees.
 *
 * Faults may overlap; a process is killed or frozen at most once. All faults are removed before the last steps, so these steps must succeed.
 */
Script randomScript(std::uint64_t seed);

}
