/// @file Reading of ages that other processes state.
#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <cstdint>

namespace Core {

/// Longest age that is told apart from longer ones. It can be subtracted from any time without an overflow.
inline constexpr Duration MaximumStatedAge = std::chrono::hours(24 * 365);

/// Returns an age in milliseconds as a duration of at most MaximumStatedAge.
inline Duration statedAge(std::uint64_t milliseconds)
{
    return Duration(static_cast<std::int64_t>(std::min<std::uint64_t>(milliseconds, static_cast<std::uint64_t>(MaximumStatedAge.count()))));
}

}
