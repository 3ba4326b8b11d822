/// @file Decides whether a read of the log that is under way can be relied on. A pure function; every read of a follower that may wait is judged by it.
#pragma once

#include "LibCore/Clock.h"

#include <optional>

namespace Follow {

/// Limits within which a read that waits must be known to be sound.
struct ReadLimits
{
    Core::Duration m_deliveryTime{400}; ///< Within this time after a record is known to exist, the read must have delivered it.
    /// Age of the newest confirmation from which another read asks whether the one under way has missed something.
    Core::Duration m_confirmationLimit{1500};

    bool operator==(const ReadLimits &) const = default;
};

/**
 * What a process knows that bears on a read under way.
 *
 * A read that waits has sent all that it had to send, so neither an error nor a retransmission shows that its connection has gone silent. Only other
 * calls and other processes show it.
 */
struct ReadEvidence
{
    Core::Instant m_sentAt; ///< Of the read under way.
    std::optional<Core::Instant> m_lastLossAt; ///< When another call to the log last failed.
    std::optional<Core::Instant> m_lastAnsweredCallSentAt; ///< When the call was sent that was answered last, the read under way not included.
    std::optional<Core::Instant> m_overdueSince; ///< Since when a record is known, from another call or a peer, that the read has not delivered.
    std::optional<Core::Instant> m_confirmedAsOf; ///< All records that existed then are known, from the log or a peer.

    bool operator==(const ReadEvidence &) const = default;
};

enum class ReadVerdict {
    Sound,
    Unconfirmed, ///< Nothing speaks against the read, and nothing has confirmed for too long that it has missed nothing.
    Dead, ///< The read will not deliver what it waits for.
};

/// Judges a read under way at @p now. @p patience: added to the confirmation limit, so that processes which share confirmations do not all ask at once.
ReadVerdict judgeRead(const ReadEvidence &evidence, const ReadLimits &limits, Core::Duration patience, Core::Instant now);

}
