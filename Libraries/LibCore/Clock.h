/// @file The monotonic clock of the project. No decision uses the wall clock.
#pragma once

#include <chrono>

namespace Core {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Duration = std::chrono::milliseconds;

/// Seconds between two instants as a floating-point number.
inline double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

}
