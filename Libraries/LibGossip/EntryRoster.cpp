/// @file Implementation of the entry roster.

#include "LibGossip/EntryRoster.h"

namespace Gossip {

void updateRoster(EntryRoster &roster, const std::vector<Member> &aliveEntries, const EntryRosterSettings &settings, Core::Instant now)
{
    for (const Member &entry : aliveEntries) {
        roster[entry.m_id] = RosterEntry{now, entry.m_isLeaving, entry.m_failureDomain};
    }
    std::erase_if(roster, [&settings, now](const std::pair<const std::string, RosterEntry> &known) {
        const Core::Duration lifetime = known.second.m_isLeaving ? settings.m_leftLifetime : settings.m_silentLifetime;
        return now - known.second.m_lastAliveAt > lifetime;
    });
}

}
