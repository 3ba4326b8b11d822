/// @file A capacity trial: measures the resource usage of the processes in a fleet of a given size.
#pragma once

#include "LibBench/Fleet.h"
#include "LibBench/Sample.h"

#include <string>

namespace Capacity {

/// The size that varies between trials.
enum class Axis {
    Agents,
    Entries,
    Accounts,
    Changes, ///< Publications per minute.
    Requests, ///< Generate requests per second.
};

/// Sizes of one trial; the axis selects the one that varies.
struct TrialSize
{
    int m_agents = 10;
    int m_entries = 3;
    int m_accounts = 1;
    int m_changesPerMinute = 0;
    int m_requestsPerSecond = 0;

    bool operator==(const TrialSize &) const = default;
};

/// Returns @p base with @p value on the axis.
TrialSize withAxisValue(Axis axis, int value, TrialSize base);

/// Mean usage of the processes of each role.
struct TrialResult
{
    Bench::UsageRate m_entry;
    Bench::UsageRate m_agent;
    double m_logAppendsPerSecond = 0;

    bool operator==(const TrialResult &) const = default;
};

/// Starts a fleet, publishes a small version to all agents, waits a few seconds for the fleet to settle and measures its usage for @p seconds.
Core::Result<TrialResult> runTrial(const TrialSize &size, int seconds, const std::string &programs);

}
