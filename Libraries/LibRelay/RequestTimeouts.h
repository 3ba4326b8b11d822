/// @file How long endpoints and callers are waited for, in terms of a route's objectives.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>

namespace Relay {

inline constexpr double MillisecondsPerSecond = 1000;
/// An endpoint that could be replaced by another is given up after this many times the latency objective without an answer.
inline constexpr double HeadTimeoutInGoals = 4;
/// A stream that could be resumed elsewhere is given up after a pause of this many times the longest pause that is on time.
inline constexpr double PauseTimeoutInGaps = 4;
/// Callers leave a stream, also before its first event, that stays silent for this many times the longest pause that is on time.
inline constexpr double CallerTimeoutInGaps = 8;

inline Core::Duration scaled(std::uint32_t milliseconds, double factor)
{
    return Core::Duration(static_cast<std::int64_t>(milliseconds * factor));
}

}
