/// @file Implementation of the stall detector.

#include "LibTelemetry/StallDetector.h"

#include <utility>

namespace Telemetry {

std::optional<Core::Duration> recordTick(StallDetector &detector, Core::Duration interval, Core::Instant now)
{
    const std::optional<Core::Instant> expected = std::exchange(detector.m_nextTickAt, now + interval);
    const Core::Instant lastTickAt = std::exchange(detector.m_lastTickAt, now);
    detector.m_lastTickBeforeStall.reset();
    if (!expected || now - *expected < ReportedStall) {
        return std::nullopt;
    }
    detector.m_lastTickBeforeStall = lastTickAt;
    return std::chrono::duration_cast<Core::Duration>(now - *expected);
}

Core::Duration possibleDelay(const StallDetector &detector, Core::Instant now)
{
    const bool isStalled = detector.m_nextTickAt && now - *detector.m_nextTickAt >= ReportedStall;
    if (isStalled) {
        return std::chrono::duration_cast<Core::Duration>(now - detector.m_lastTickAt);
    }
    if (detector.m_lastTickBeforeStall) {
        return std::chrono::duration_cast<Core::Duration>(now - *detector.m_lastTickBeforeStall);
    }
    return Core::Duration(0);
}

}
