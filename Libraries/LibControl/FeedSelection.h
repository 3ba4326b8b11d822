/// @file Selection of the entries that a process subscribes to for control state.
#pragma once

#include "LibProtocol/Member.h"

#include <set>
#include <span>
#include <vector>

namespace Control {

/**
 * Returns the addresses that @p self subscribes to: at most @p count, best first. Those in @p avoided are used only if
 * nothing else is left.
 *
 * Agents are distributed over the entries by rendezvous weight, so that each entry serves its share and few agents move
 * when an entry is removed. Entries send each other updates while the log is down, so a change known to any of them must
 * reach all. Therefore each entry subscribes to the next one in the order of their ids, which connects all entries in a
 * ring, and to others by rendezvous weight.
 */
std::vector<Core::Address> selectFeeds(const Protocol::Member &self,
                                       std::span<const Protocol::Member> members,
                                       std::span<const Core::Address> seeds,
                                       const std::set<Core::Address> &avoided,
                                       std::size_t count);

}
