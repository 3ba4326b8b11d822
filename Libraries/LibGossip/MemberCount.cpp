/// @file Implementation of the comparison of member counts.

#include "LibGossip/MemberCount.h"

namespace Gossip {

namespace {

constexpr Core::Duration ReportLifetime{2000}; ///< Several heartbeats.
constexpr double SufficientShare = 0.9;
constexpr Core::Duration LongestDiscovery{5000}; ///< Several times as long as a newcomer needs. Others may still count members that are gone.

}

ReportedMemberCount addReport(const ReportedMemberCount &largest, std::uint32_t count, Core::Instant now)
{
    const bool isReplaced = count >= largest.m_count || now - largest.m_at > ReportLifetime;
    return isReplaced ? ReportedMemberCount{count, now} : largest;
}

bool knowsMostMembers(std::size_t known, const ReportedMemberCount &largest, Core::Duration runningFor)
{
    return static_cast<double>(known) >= SufficientShare * largest.m_count || runningFor > LongestDiscovery;
}

}
