/// @file Token bucket that keeps transfer within its share of a link. Time is passed in.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>

namespace Transfer {

/// Value type without a lock; belongs to one duty.
class Pacer
{
public:
    /// @p rate in bytes per second, 0 for no limit; @p burst in bytes is what may be taken at once after a pause.
    Pacer(std::uint64_t rate, std::uint64_t burst, Core::Instant now);

    /// Takes @p bytes if the bucket is not in debt; one taking may overdraw it, so that a unit larger than the burst still passes.
    bool tryTake(std::uint64_t bytes, Core::Instant now);
    /// Takes @p bytes that others have already used, at most down to a debt of two bursts.
    void charge(std::uint64_t bytes, Core::Instant now);
    /// Gives back what was taken and not used.
    void refund(std::uint64_t bytes);
    /// Time until tryTake can succeed.
    Core::Duration timeUntilReady(Core::Instant now);

private:
    void refill(Core::Instant now);

    std::uint64_t m_rate;
    double m_burst;
    double m_tokens; ///< At most m_burst; negative while in debt.
    Core::Instant m_refilledAt;
};

}
