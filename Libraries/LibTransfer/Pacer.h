/// @file Token bucket that limits transfers to their share of a link. Time is passed in.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>

namespace Transfer {

/// A token bucket. Not thread-safe; used by a single worker.
class Pacer
{
public:
    /// @p rate in bytes per second, 0 for no limit; @p burst is the number of bytes that may be taken at once after a pause.
    Pacer(std::uint64_t rate, std::uint64_t burst, Core::Instant now);

    /// Takes @p bytes unless the bucket is in debt. A single call may overdraw the bucket, so that a unit larger than the burst can pass.
    bool tryTake(std::uint64_t bytes, Core::Instant now);
    /// Takes @p bytes that were already used by other traffic, down to a debt of at most two bursts.
    void charge(std::uint64_t bytes, Core::Instant now);
    /// Returns bytes that were taken but not used.
    void refund(std::uint64_t bytes);
    /// Returns the time until tryTake() can succeed.
    Core::Duration timeUntilReady(Core::Instant now);

private:
    void refill(Core::Instant now);

    std::uint64_t m_rate;
    double m_burst;
    double m_tokens; ///< At most m_burst; negative while in debt.
    Core::Instant m_refilledAt;
};

}
