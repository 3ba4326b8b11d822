/// @file Time limits for endpoints and callers, as multiples of a route's objectives.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>

namespace Relay {

inline constexpr double MillisecondsPerSecond = 1000;
/// An attempt that may be retried at another endpoint ends after this many times the latency objective without an answer.
inline constexpr double HeadTimeoutInGoals = 4;
/// An attempt whose stream may be resumed elsewhere ends after a pause of this many times the objective for pauses.
inline constexpr double PauseTimeoutInGaps = 4;

inline Core::Duration scaled(std::uint32_t milliseconds, double factor)
{
    return Core::Duration(static_cast<std::int64_t>(milliseconds * factor));
}

}
