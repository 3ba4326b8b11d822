/// @file Tests of what the lateness of ticks shows about the time for which the process was held up.

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

TEST_CASE("An event that is handled in a stall or right after it may have waited since the last punctual tick, and any other one has not")
{
    // Guards against a signal to end whose grace is counted from when it is handled.
    constexpr Core::Duration interval{200};
    constexpr Core::Duration stall{2500};
    const Core::Instant start;
    Telemetry::StallDetector detector;
    CHECK(Telemetry::possibleDelay(detector, start) == Core::Duration(0));
    Telemetry::recordTick(detector, interval, start);
    CHECK(Telemetry::possibleDelay(detector, start + interval) == Core::Duration(0));
    CHECK(Telemetry::possibleDelay(detector, start + stall) == stall);
    Telemetry::recordTick(detector, interval, start + stall);
    CHECK(Telemetry::possibleDelay(detector, start + stall + Core::Duration(1)) == stall + Core::Duration(1));
    Telemetry::recordTick(detector, interval, start + stall + interval);
    CHECK(Telemetry::possibleDelay(detector, start + stall + interval) == Core::Duration(0));
}
