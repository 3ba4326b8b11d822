/// @file Tells whether a process knows most members of the fleet, from the numbers of members that other processes report.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>

namespace Gossip {

/// Largest number of known members that another process has reported recently.
struct ReportedMemberCount
{
    std::uint32_t m_count = 0;
    Core::Instant m_at; ///< When it was reported.

    bool operator==(const ReportedMemberCount &) const = default;
};

/// Returns the largest count after another report. A count that was not confirmed for some heartbeats is replaced, because the fleet may have shrunk.
ReportedMemberCount addReport(const ReportedMemberCount &largest, std::uint32_t count, Core::Instant now);

/// How the number of members that a process knows has grown since its start.
struct MemberGrowth
{
    std::size_t m_count = 0; ///< After the last growth that mattered.
    Core::Instant m_grownAt; ///< When that was, or when the process started.

    bool operator==(const MemberGrowth &) const = default;
};

/// Returns the growth after a process has counted the members that it knows. Few members more do not count as growth.
MemberGrowth addKnownCount(const MemberGrowth &growth, std::size_t known, Core::Instant now);

/// Returns whether a process may divide what all members together may do by the number that it knows. Members that start together know few of each other at
/// first, and none of them can tell the others so; the number grows until all are known.
bool isGrowthOver(const MemberGrowth &growth, Core::Instant now);

/// Returns whether a process that knows @p known members and has been running for @p runningFor knows most of them, or will not learn of many more.
bool knowsMostMembers(std::size_t known, const ReportedMemberCount &largest, Core::Duration runningFor);

}
