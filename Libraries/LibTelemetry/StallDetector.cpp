/// @file Implementation of the stall detector.

#include "LibTelemetry/StallDetector.h"

namespace Telemetry {

std::optional<Core::Duration> recordTick(StallDetector &detector, Core::Duration interval, Core::Instant now)
{
    const std::optional<Core::Instant> expected = detector.m_nextTickAt;
    detector.m_nextTickAt = now + interval;
    if (!expected || now - *expected < ReportedStall) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Core::Duration>(now - *expected);
}

}
