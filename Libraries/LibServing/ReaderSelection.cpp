/// @file Implementation of the selection of readers.

#include "LibServing/ReaderSelection.h"

#include <algorithm>

namespace Serving {

bool isReader(const Gossip::Member &self, const std::vector<Gossip::Member> &others, const ReaderSelectionSettings &settings)
{
    const std::uint64_t ownRank = Core::stableHash(self.m_id);
    const std::int64_t before = std::count_if(others.begin(), others.end(), [&self, ownRank](const Gossip::Member &other) {
        const bool isCandidate = other.m_role == Gossip::Role::Entry && other.m_failureDomain == self.m_failureDomain && other.m_isReady && !other.m_isLeaving;
        return isCandidate && Core::stableHash(other.m_id) < ownRank;
    });
    return static_cast<std::size_t>(before) < settings.m_readersPerDomain;
}

bool mayRelyOnPeers(bool isReader, std::optional<Core::Duration> listAge, const ReaderSelectionSettings &settings)
{
    return !isReader && listAge && *listAge < settings.m_maximumListAge;
}

}
