/// @file Which agents an entry watches. Pure.
#pragma once

#include "LibControl/ControlState.h"

#include <map>
#include <span>
#include <string>

namespace Entry {

/// The agents to watch, by instance.
using WatchSet = std::map<std::string, Protocol::Member>;

/**
 * Every agent of a service that has few, else the best by rendezvous weight among the replicas of each version.
 *
 * Reports of every agent to every entry would grow with the product of both. With a bounded subset per version an entry pays the same however
 * large the fleet is, and the rendezvous weights spread the entries evenly over the agents. @p held are instances watched now that serve a
 * version which is no longer planned but may still answer; they stay.
 */
WatchSet chooseWatchSet(const std::string &entry,
                        const Control::ControlState &state,
                        std::span<const Protocol::Member> members,
                        std::span<const std::string> held,
                        std::size_t perGroup);

}
