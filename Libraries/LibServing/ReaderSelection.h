/// @file Selects the entries that read the platform's log; these keep the other entries up to date. Pure functions.
#pragma once

#include "LibGossip/Membership.h"

namespace Serving {

/**
 * Every read of the log has the same cost, and all readers share its link and its rate limit. Therefore only two entries of each failure domain read it.
 * After each read they send a heartbeat to the other entries of the domain, which then fetch the changes from them.
 */
struct ReaderSelectionSettings
{
    std::size_t m_readersPerDomain = 2; ///< With two, one may be dead or cut off from the log without interrupting the updates.
    /**
     * An entry reads the endpoint list itself if the list has not been confirmed for this long. This is three times the interval at which the readers read it,
     * so that two confirmations may be lost. Together with the entry's own read it is well within the two seconds in which a leaving endpoint must be known.
     */
    Core::Duration m_maximumListAge{1300};
    /**
     * An entry reads the log itself if its declarations have not been confirmed for this long: the readers may be alive and their reads dead. Readers
     * confirm them at least every two seconds, and pass it on once a second.
     */
    Core::Duration m_maximumDeclarationsAge{4500};

    bool operator==(const ReaderSelectionSettings &) const = default;
};

/// Returns whether @p self is one of the readers of its failure domain. @p others may contain any members.
bool isReader(const Gossip::Member &self, const std::vector<Gossip::Member> &others, const ReaderSelectionSettings &settings);

/// Returns the readers of all failure domains among @p entries and @p self, without @p self.
std::vector<Gossip::Member> otherReaders(const Gossip::Member &self, const std::vector<Gossip::Member> &entries, const ReaderSelectionSettings &settings);

/// Times since what an entry knows was confirmed to be up to date; empty if it never was.
struct StateAge
{
    std::optional<Core::Duration> m_list; ///< Of endpoints.
    std::optional<Core::Duration> m_declarations;

    bool operator==(const StateAge &) const = default;
};

/// Returns whether an entry may rely on the readers instead of reading.
bool mayRelyOnPeers(bool isReader, const StateAge &age, const ReaderSelectionSettings &settings);

}
