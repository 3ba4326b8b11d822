/// @file Tests that a late tick is reported with its lateness, and a punctual one is not.

#include "LibTelemetry/StallDetector.h"

#include <catch2/catch.hpp>

TEST_CASE("Only a tick that is late by the reported stall or more is reported")
{
    constexpr Core::Duration interval{200};
    const Core::Instant start;
    Telemetry::StallDetector detector;
    CHECK_FALSE(Telemetry::recordTick(detector, interval, start));
    CHECK_FALSE(Telemetry::recordTick(detector, interval, start + interval + Telemetry::ReportedStall - Core::Duration(1)));
    const Core::Instant next = *detector.m_nextTickAt;
    CHECK(Telemetry::recordTick(detector, interval, next + Telemetry::ReportedStall) == Telemetry::ReportedStall);
    CHECK_FALSE(Telemetry::recordTick(detector, interval, *detector.m_nextTickAt));
}
