/// @file One measurement of a fleet of one size: what its processes use for themselves.
#pragma once

#include "LibBench/Fleet.h"
#include "LibBench/Sample.h"

#include <string>

namespace Capacity {

/// What grows from one trial to the next.
enum class Axis {
    Agents,
    Entries,
    Accounts,
    Changes, ///< Publications a minute.
    Requests, ///< Generate requests a second.
};

/// Sizes of one trial; the axis decides which of them varies.
struct TrialSize
{
    int m_agents = 10;
    int m_entries = 3;
    int m_accounts = 1;
    int m_changesPerMinute = 0;
    int m_requestsPerSecond = 0;

    bool operator==(const TrialSize &) const = default;
};

/// The size with @p value on the axis.
TrialSize withAxisValue(Axis axis, int value, TrialSize base);

/// Mean over the processes of each role.
struct TrialResult
{
    Bench::UsageRate m_entry;
    Bench::UsageRate m_agent;
    double m_logAppendsPerSecond = 0;

    bool operator==(const TrialResult &) const = default;
};

/// Starts a fleet, publishes one small version to every agent, lets it settle and samples it for @p seconds.
Core::Result<TrialResult> runTrial(const TrialSize &size, int seconds, const std::string &programs);

}
