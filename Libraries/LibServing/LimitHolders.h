/// @file Selects the entries among which sums over all entries are divided: those that may still send requests. Pure functions.
#pragma once

#include "LibGossip/EntryRoster.h"
#include "LibPlacement/RequestLimits.h"

#include <vector>

namespace Serving {

/**
 * Returns the entries that hold parts of limits, of those that are in the table of members.
 *
 * An entry that leaves sends its part until its last request has been sent, and does not say when that is. If the others divided its part among themselves
 * before, the endpoint would get it twice. So it stays a holder until it is no longer in the table, or has started again under its name.
 */
std::vector<Placement::LimitHolder> limitHolders(const std::vector<Gossip::Member> &knownEntries);

/// Adds the entries of the roster that have been silent for longer than members are kept in the table.
std::vector<Placement::LimitHolder> withSilentEntries(std::vector<Placement::LimitHolder> holders, const Gossip::EntryRoster &roster);

/// Returns the part of the traffic of all entries that @p self gets, by their recent rates. Entries that leave go on sending what they have accepted.
double trafficShare(const Gossip::Member &self, const std::vector<Gossip::Member> &others);

}
