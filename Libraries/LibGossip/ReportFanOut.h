/// @file Decides which entries receive an engine report and when an entry relays it. Pure functions.
#pragma once

#include "LibGossip/Membership.h"

namespace Gossip {

/// How soon the entries need an engine report.
enum class ReportUrgency {
    Regular, ///< Sent with the next heartbeat.
    Prompt, ///< Sent immediately, but not to other large failure domains; the next report makes up for a lost one.
    Critical, ///< Sent immediately and must reach every entry, since it decides where requests may be sent.
};

/**
 * Settings of the distribution of engine reports to all entries.
 *
 * If each agent sent its reports to each entry, the number of datagrams would grow with the product of both: 58 agents and 52 entries at three reports a
 * second would send 9,000 datagrams a second, each of them separately over the links between regions. In a large failure domain, a few entries therefore
 * receive the reports and relay them in batches. Reports between two heartbeats are not sent to other large failure domains, because the entries of the
 * engine's own domain send it most of its requests.
 */
struct ReportFanOut
{
    /// Up to this number of entries in a failure domain, agents send every report to each entry directly, since that takes only a few datagrams.
    std::size_t m_maximumDirectEntries = 8;
    /**
     * Entries of a larger failure domain that relay reports; each report goes to a random one. With three relays, a dead relay loses a third of the reports
     * until its death is detected; the next report of the same engine probably goes to another relay.
     */
    std::size_t m_relaysPerDomain = 3;
    std::size_t m_criticalCopies = 2; ///< Relays of each large failure domain that receive a critical report.

    bool operator==(const ReportFanOut &) const = default;
};

/// Returns the entries that receive a report of an engine in @p failureDomain.
std::vector<Core::Address>
reportTargets(const std::vector<Member> &entries, const std::string &failureDomain, ReportUrgency urgency, const ReportFanOut &fanOut, Core::Random &random);

/// Returns whether an entry relays the reports of agents. @p entriesInDomain: number of entries in its failure domain, including itself.
bool relaysReports(std::size_t entriesInDomain, const ReportFanOut &fanOut);

}
