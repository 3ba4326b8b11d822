/// @file Which entries a process subscribes to for control state.
#pragma once

#include "LibProtocol/Member.h"

#include <set>
#include <span>
#include <vector>

namespace Control {

/**
 * Chooses where @p self subscribes: at most @p count addresses, best first, none of them @p avoided unless nothing else is left.
 *
 * Agents spread over the entries by rendezvous weight, so that each entry feeds its share and few move when one goes.
 * Entries feed each other while the log is down, so what any one of them knows must reach all: each subscribes to the
 * next one in the order of their names, which makes a ring through all of them, and to others by rendezvous weight.
 */
std::vector<Core::Address> selectFeeds(const Protocol::Member &self,
                                       std::span<const Protocol::Member> members,
                                       std::span<const Core::Address> seeds,
                                       const std::set<Core::Address> &avoided,
                                       std::size_t count);

}
