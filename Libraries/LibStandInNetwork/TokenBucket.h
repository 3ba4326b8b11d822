/// @file Token bucket that limits the rate of a link. Takes the time as a parameter.
#pragma once

#include "LibCore/Clock.h"

#include <algorithm>

namespace StandIn {

/**
 * Tokens are bytes. While there are tokens, any number may be taken, which can leave a debt. A quantum larger than the burst can thus
 * pass, and the rate is exact over time.
 */
class TokenBucket
{
public:
    TokenBucket(double bytesPerSecond, double burstBytes, Core::Instant now)
        : m_bytesPerSecond(bytesPerSecond)
        , m_burstBytes(burstBytes)
        , m_tokens(burstBytes)
        , m_updated(now)
    {
    }

    bool hasTokens(Core::Instant now)
    {
        refill(now);
        return m_tokens > 0;
    }

    /// Takes tokens; the caller has checked hasTokens().
    void take(double bytes)
    {
        m_tokens -= bytes;
    }

    /// Returns the time at which hasTokens() becomes true if nothing is taken before.
    Core::Instant availableAt() const
    {
        if (m_tokens > 0) {
            return m_updated;
        }
        constexpr double roundUpSeconds = 1e-6;
        const double seconds = -m_tokens / m_bytesPerSecond + roundUpSeconds;
        return m_updated + std::chrono::duration_cast<Core::Clock::duration>(std::chrono::duration<double>(seconds));
    }

private:
    void refill(Core::Instant now)
    {
        if (now <= m_updated) {
            return;
        }
        m_tokens = std::min(m_burstBytes, m_tokens + Core::secondsBetween(m_updated, now) * m_bytesPerSecond);
        m_updated = now;
    }

    double m_bytesPerSecond; ///< Positive.
    double m_burstBytes;
    double m_tokens; ///< At most m_burstBytes; negative for a debt.
    Core::Instant m_updated; ///< Time of the last refill.
};

}
