/// @file Which entries an engine's report goes to, and when an entry passes it on: pure decisions.
#pragma once

#include "LibGossip/Membership.h"

namespace Gossip {

/// How soon the entries need a report.
enum class ReportUrgency {
    Regular, ///< With the next heartbeat.
    Prompt, ///< Now, in the engine's own failure domain above all; the next one makes up for it if it is lost.
    Critical, ///< Now, and it must reach every entry: what it says decides where requests may go.
};

/**
 * How reports of engines reach every entry.
 *
 * If each agent told each entry, the datagrams would grow with the product of both: 58 agents and 52 entries at three reports a second would make 9,000 a
 * second, and the links between regions carry each one alone. In a large failure domain a few entries therefore take the reports and pass them on in batches,
 * and those between two heartbeats stay in the engine's own one, whose entries send it most of its requests.
 */
struct ReportFanOut
{
    std::size_t m_maximumDirectEntries = 8; ///< Entries of a failure domain up to which each gets every report from the agent itself: a few datagrams.
    /**
     * Entries of a larger failure domain among which the reports are dealt out at random. With three, one that has died costs a third of the reports
     * until it is noticed; the next report of the same engine probably takes another way.
     */
    std::size_t m_relaysPerDomain = 3;
    std::size_t m_criticalCopies = 2; ///< Relays of each failure domain that get a report which must not be lost.

    bool operator==(const ReportFanOut &) const = default;
};

/// Entries that a report of an engine in @p failureDomain is sent to.
std::vector<Core::Address>
reportTargets(const std::vector<Member> &entries, const std::string &failureDomain, ReportUrgency urgency, const ReportFanOut &fanOut, Core::Random &random);

/// Whether an entry passes on what agents report to it. @p entriesInDomain: in its failure domain, itself included.
bool relaysReports(std::size_t entriesInDomain, const ReportFanOut &fanOut);

}
