/// @file Detects that the process got no processor time, by the lateness of a periodic timer.
#pragma once

#include "LibCore/Clock.h"

#include <optional>

namespace Telemetry {

/// Lateness from which a stall is reported. Timers of a process that runs are a few milliseconds late.
inline constexpr Core::Duration ReportedStall{100};

struct StallDetector
{
    std::optional<Core::Instant> m_nextTickAt; ///< Empty before the first tick.
    Core::Instant m_lastTickAt;
    std::optional<Core::Instant> m_lastTickBeforeStall; ///< Set while the last tick ended a stall.

    bool operator==(const StallDetector &) const = default;
};

/// Records a tick that is repeated after @p interval. Returns how late it is if that is ReportedStall or more.
std::optional<Core::Duration> recordTick(StallDetector &detector, Core::Duration interval, Core::Instant now);

/// Returns the longest time for which an event that the process handles now may have waited: since the last tick before a stall that lasts or has just ended.
Core::Duration possibleDelay(const StallDetector &detector, Core::Instant now);

}
