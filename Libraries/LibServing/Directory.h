/// @file Which entries a caller should connect to: a pure decision.
#pragma once

#include "LibGossip/Membership.h"

#include <string>
#include <vector>

namespace Serving {

struct DirectorySettings
{
    std::size_t m_maximumAddresses = 64; ///< In one answer.
    std::size_t m_minimumNear = 3; ///< With fewer entries near the caller, others are named too, so that one loss leaves a choice.
    std::uint32_t m_lifetimeSeconds = 2; ///< Of an answer: a dead entry is named for no longer than heartbeats take to show it, and this.

    bool operator==(const DirectorySettings &) const = default;
};

/// Where the caller stands; empty if it did not say.
struct CallerLocation
{
    std::string m_region;
    std::string m_failureDomain;

    bool operator==(const CallerLocation &) const = default;
};

/// Entries that are ready and not leaving, near ones only if they are enough. @p self is one of those to be named.
std::vector<Core::Address>
chooseEntries(const std::vector<Gossip::Member> &others, const Gossip::Member &self, const CallerLocation &place, const DirectorySettings &settings);

}
