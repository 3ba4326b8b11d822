/// @file Which entries read the platform's log, and which are kept up to date by those: a pure decision.
#pragma once

#include "LibGossip/Membership.h"

namespace Serving {

/**
 * Every read of the log costs the same whoever makes it, and its link and its rate are shared. Two entries of each failure domain read; they tell the
 * others nearby after each read, and hand over what has changed.
 */
struct ReaderSelectionSettings
{
    std::size_t m_readersPerDomain = 2; ///< One may be cut off from the log or dead without a gap.
    /**
     * An entry whose list has not been confirmed for so long reads it itself: three intervals of the readers, two of which may be lost, and with a
     * read of its own well within the two seconds in which a leaving endpoint must be known.
     */
    Core::Duration m_maximumListAge{1300};

    bool operator==(const ReaderSelectionSettings &) const = default;
};

/// Whether @p self is one of the readers among the entries of its failure domain. @p others: any members.
bool isReader(const Gossip::Member &self, const std::vector<Gossip::Member> &others, const ReaderSelectionSettings &settings);

/// Whether an entry may leave the reading to others. @p listAge: since its list was confirmed; empty if it never was.
bool mayRelyOnPeers(bool isReader, std::optional<Core::Duration> listAge, const ReaderSelectionSettings &settings);

}
