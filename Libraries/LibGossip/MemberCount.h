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

/// Returns whether a process that knows @p known members and has been running for @p runningFor knows most of them, or will not learn of many more.
bool knowsMostMembers(std::size_t known, const ReportedMemberCount &largest, Core::Duration runningFor);

}
