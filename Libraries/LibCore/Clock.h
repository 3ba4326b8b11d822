/// @file The monotonic clock of the project. No decision uses the wall clock, except on times that another program states by it.
#pragma once

#include <chrono>
#include <ctime>

namespace Core {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using Duration = std::chrono::milliseconds;

/// Returns for how long the machine has been suspended since its start. Clock does not count that time.
inline Duration timeSuspended()
{
    const auto read = [](clockid_t clock) {
        timespec time{};
        ::clock_gettime(clock, &time);
        return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    };
    return std::chrono::duration_cast<Duration>(read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC));
}

/// Seconds between two instants as a floating-point number.
inline double secondsBetween(Instant from, Instant to)
{
    return std::chrono::duration<double>(to - from).count();
}

}
