/// @file Implementation of the comparison of member counts.

#include "LibGossip/MemberCount.h"

namespace Gossip {

namespace {

constexpr Core::Duration ReportLifetime{2000}; ///< Several heartbeats.
constexpr double SufficientShare = 0.9;
constexpr double GrowthFactor = 1.1; ///< A smaller change of the number of members changes little of what each of them may do.
constexpr Core::Duration GrowthPause{1000}; ///< Two heartbeats. While members are being discovered, each heartbeat names some.
constexpr Core::Duration LongestDiscovery{5000}; ///< Several times as long as a newcomer needs. Others may still count members that are gone.

}

ReportedMemberCount addReport(const ReportedMemberCount &largest, std::uint32_t count, Core::Instant now)
{
    const bool isReplaced = count >= largest.m_count || now - largest.m_at > ReportLifetime;
    return isReplaced ? ReportedMemberCount{count, now} : largest;
}

MemberGrowth addKnownCount(const MemberGrowth &growth, std::size_t known, Core::Instant now)
{
    const bool hasGrown = static_cast<double>(known) > GrowthFactor * static_cast<double>(growth.m_count);
    return hasGrown ? MemberGrowth{known, now} : growth;
}

bool isGrowthOver(const MemberGrowth &growth, Core::Instant now)
{
    return now - growth.m_grownAt >= GrowthPause;
}

bool knowsMostMembers(std::size_t known, const ReportedMemberCount &largest, Core::Duration runningFor)
{
    return static_cast<double>(known) >= SufficientShare * largest.m_count || runningFor > LongestDiscovery;
}

}
