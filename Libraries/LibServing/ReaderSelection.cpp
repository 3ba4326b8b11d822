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

std::vector<Gossip::Member> otherReaders(const Gossip::Member &self, const std::vector<Gossip::Member> &entries, const ReaderSelectionSettings &settings)
{
    struct Candidate
    {
        const Gossip::Member *m_member;
        std::uint64_t m_rank;
    };
    std::map<std::string, std::vector<Candidate>> candidates; // By failure domain.
    candidates[self.m_failureDomain].push_back(Candidate{&self, Core::stableHash(self.m_id)});
    for (const Gossip::Member &entry : entries) {
        if (entry.m_isReady && !entry.m_isLeaving) {
            candidates[entry.m_failureDomain].push_back(Candidate{&entry, Core::stableHash(entry.m_id)});
        }
    }
    std::vector<Gossip::Member> readers;
    for (std::pair<const std::string, std::vector<Candidate>> &domain : candidates) {
        const std::size_t count = std::min(domain.second.size(), settings.m_readersPerDomain);
        const std::vector<Candidate>::iterator end = domain.second.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(
            domain.second.begin(), end, domain.second.end(), [](const Candidate &left, const Candidate &right) { return left.m_rank < right.m_rank; });
        for (std::vector<Candidate>::iterator it = domain.second.begin(); it != end; ++it) {
            if (it->m_member != &self) {
                readers.push_back(*it->m_member);
            }
        }
    }
    return readers;
}

bool mayRelyOnPeers(bool isReader, const StateAge &age, const ReaderSelectionSettings &settings)
{
    const bool isListConfirmed = age.m_list && *age.m_list < settings.m_maximumListAge;
    return !isReader && isListConfirmed && age.m_declarations && *age.m_declarations < settings.m_maximumDeclarationsAge;
}

}
