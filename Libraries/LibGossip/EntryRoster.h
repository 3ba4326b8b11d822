/// @file Counts the entries that may be running, including those that this process cannot reach. Limits on sums over all entries are divided by this count.
#pragma once

#include "LibGossip/Membership.h"

#include <map>
#include <string>
#include <vector>

namespace Gossip {

struct EntryRosterSettings
{
    /// A silent entry may have ended, or it may be out of reach and use its parts of limits. This is longer than most interruptions of links.
    Core::Duration m_silentLifetime{600000};
    Core::Duration m_leftLifetime{15000}; ///< As above, after an entry has announced that it leaves: its requests end, and what it has spent stops counting.

    bool operator==(const EntryRosterSettings &) const = default;
};

/// An entry other than this process.
struct RosterEntry
{
    Core::Instant m_lastAliveAt;
    bool m_isLeaving = false;
    std::string m_failureDomain;

    bool operator==(const RosterEntry &) const = default;
};

using EntryRoster = std::map<std::string, RosterEntry>; ///< By id.

/// Records the entries that are alive, and removes those that have been silent for too long.
void updateRoster(EntryRoster &roster, const std::vector<Member> &aliveEntries, const EntryRosterSettings &settings, Core::Instant now);

}
