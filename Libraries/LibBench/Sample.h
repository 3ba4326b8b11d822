/// @file What a process of a fleet has used so far, read from its counters and from the system.
#pragma once

#include "LibBench/Fleet.h"

#include <map>
#include <string>

namespace Bench {

/// Values of one process at one moment. Counters only grow; resident memory is a level.
struct UsageSample
{
    Core::Instant m_takenAt;
    double m_processorSeconds = 0;
    double m_residentBytes = 0;
    double m_controlBytes = 0; ///< Sent and received.
    double m_controlFrames = 0;
    double m_transferBytes = 0;
    double m_liveBytes = 0;

    bool operator==(const UsageSample &) const = default;
};

/// Use per second between two samples, and the level at the second.
struct UsageRate
{
    double m_processorShare = 0; ///< Of one core.
    double m_residentBytes = 0;
    double m_controlBytesPerSecond = 0;
    double m_controlFramesPerSecond = 0;
    double m_liveBytesPerSecond = 0;

    bool operator==(const UsageRate &) const = default;
};

/// Counters of a Prometheus text by full name with labels; lines that are not counters are skipped.
std::map<std::string, double> parseMetrics(const std::string &text);

/// Reads one process of the fleet now.
Core::Result<UsageSample> readUsageSample(Fleet &fleet, const std::string &process);

UsageRate usageRate(const UsageSample &before, const UsageSample &after);

}
