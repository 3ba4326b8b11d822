/// @file Implementation of the selection of entries that hold parts of limits.

#include "LibServing/LimitHolders.h"

#include <set>

namespace Serving {

namespace {

/// Returns the weight of an entry in the division of the traffic. One that gets no requests now may get some in the next moment.
double trafficWeight(const Gossip::Member &entry)
{
    return entry.m_requestsPerSecond + 1.0;
}

}

std::vector<Placement::LimitHolder> limitHolders(const std::vector<Gossip::Member> &knownEntries)
{
    std::vector<Placement::LimitHolder> holders;
    for (const Gossip::Member &entry : knownEntries) {
        holders.push_back(Placement::LimitHolder{entry.m_id, entry.m_failureDomain});
    }
    return holders;
}

std::vector<Placement::LimitHolder> withSilentEntries(std::vector<Placement::LimitHolder> holders, const Gossip::EntryRoster &roster)
{
    std::set<std::string> included;
    for (const Placement::LimitHolder &holder : holders) {
        included.insert(holder.m_id);
    }
    for (const std::pair<const std::string, Gossip::RosterEntry> &entry : roster) {
        if (!included.contains(entry.first)) {
            holders.push_back(Placement::LimitHolder{entry.first, entry.second.m_failureDomain});
        }
    }
    return holders;
}

double trafficShare(const Gossip::Member &self, const std::vector<Gossip::Member> &others)
{
    double total = trafficWeight(self);
    for (const Gossip::Member &entry : others) {
        total += trafficWeight(entry);
    }
    return trafficWeight(self) / total;
}

}
