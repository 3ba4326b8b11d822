/// @file Selection of the agents that an entry watches.
#pragma once

#include "LibControl/ControlState.h"

#include <map>
#include <span>
#include <string>

namespace Entry {

/// The agents to watch, by instance.
using WatchSet = std::map<std::string, Protocol::Member>;

/**
 * Selects all agents of a service that has at most @p perGroup, otherwise those with the highest rendezvous weights among the replicas of each version.
 *
 * If every agent reported to every entry, the number of reports would grow with the product of both numbers. With a bounded subset per version, the
 * cost of an entry does not depend on the size of the fleet, and the rendezvous weights distribute the entries evenly over the agents. @p held are
 * instances watched now that serve a version which is no longer planned but may still answer; they remain selected.
 */
WatchSet chooseWatchSet(const std::string &entry,
                        const Control::ControlState &state,
                        std::span<const Protocol::Member> members,
                        std::span<const std::string> held,
                        std::size_t perGroup);

}
