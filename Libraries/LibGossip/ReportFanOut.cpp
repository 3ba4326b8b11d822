/// @file Implementation of the distribution of engine reports.

#include "LibGossip/ReportFanOut.h"

#include <algorithm>

namespace Gossip {

namespace {

/// Returns the entries of one failure domain that relay reports. Every agent selects the same ones.
std::vector<Member> selectRelays(std::vector<Member> entries, std::size_t count)
{
    std::sort(
        entries.begin(), entries.end(), [](const Member &left, const Member &right) { return Core::stableHash(left.m_id) < Core::stableHash(right.m_id); });
    entries.resize(std::min(entries.size(), count));
    return entries;
}

}

bool relaysReports(std::size_t entriesInDomain, const ReportFanOut &fanOut)
{
    return entriesInDomain > fanOut.m_maximumDirectEntries;
}

std::vector<Core::Address>
reportTargets(const std::vector<Member> &entries, const std::string &failureDomain, ReportUrgency urgency, const ReportFanOut &fanOut, Core::Random &random)
{
    std::map<std::string, std::vector<Member>> byDomain;
    for (const Member &entry : entries) {
        byDomain[entry.m_failureDomain].push_back(entry);
    }
    std::vector<Core::Address> targets;
    for (std::pair<const std::string, std::vector<Member>> &domain : byDomain) {
        std::vector<Member> &chosen = domain.second;
        const bool isRelayed = relaysReports(chosen.size(), fanOut);
        if (isRelayed && urgency == ReportUrgency::Prompt && domain.first != failureDomain) {
            continue;
        }
        if (isRelayed) {
            chosen = selectRelays(std::move(chosen), fanOut.m_relaysPerDomain);
            Core::keepRandom(chosen, urgency == ReportUrgency::Critical ? fanOut.m_criticalCopies : 1, random);
        }
        for (const Member &entry : chosen) {
            targets.push_back(entry.m_peers);
        }
    }
    return targets;
}

}
