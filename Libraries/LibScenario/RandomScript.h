/// @file Random schedules of faults, each wholly determined by its seed.
#pragma once

#include "LibScenario/Script.h"

#include <cstdint>

namespace Scenario {

/**
 * A script that breaks a small fleet in random ways while callers are served, mends everything, and then asks for all promises.
 *
 * Faults overlap and may hit the same process twice. The script ends with every fault taken back, so that its last steps must hold.
 */
Script randomScript(std::uint64_t seed);

}
