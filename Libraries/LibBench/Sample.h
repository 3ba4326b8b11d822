/// @file Resource usage of a process of a fleet, read from its metrics and from /proc.
#pragma once

#include "LibBench/Fleet.h"

#include <map>
#include <string>

namespace Bench {

/// Usage of one process since its start. All values but the resident memory are monotonic counters.
struct UsageSample
{
    Core::Instant m_takenAt;
    double m_processorSeconds = 0;
    double m_residentBytes = 0;
    double m_controlBytes = 0; ///< Sent and received, like the following counters.
    double m_controlFrames = 0;
    double m_transferBytes = 0;
    double m_liveBytes = 0;

    bool operator==(const UsageSample &) const = default;
};

/// Usage rates between two samples, and the resident memory at the second one.
struct UsageRate
{
    double m_processorShare = 0; ///< Fraction of one core.
    double m_residentBytes = 0;
    double m_controlBytesPerSecond = 0;
    double m_controlFramesPerSecond = 0;
    double m_liveBytesPerSecond = 0;

    bool operator==(const UsageRate &) const = default;
};

/// Parses metrics in the Prometheus text format into values by full name with labels. Lines that are not metrics are skipped.
std::map<std::string, double> parseMetrics(const std::string &text);

/// Reads the current usage of a process.
Core::Result<UsageSample> readUsageSample(Fleet &fleet, const std::string &process);

/// Returns the usage rates between two samples of a process.
UsageRate usageRate(const UsageSample &before, const UsageSample &after);

}
