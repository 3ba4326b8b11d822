/// @file A link's rate: decision logic without clocks.
#pragma once

#include "LibCore/Clock.h"

#include <algorithm>

namespace StandIn {

/**
 * Tokens are bytes. Whoever finds more than none may take any amount and leave a debt, so that a quantum larger than the
 * burst still passes and the rate is held exactly over time.
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

    void take(double bytes)
    {
        m_tokens -= bytes;
    }

    /// When hasTokens() becomes true, if nothing is taken before.
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
    double m_tokens; ///< At most m_burstBytes; negative is a debt.
    Core::Instant m_updated;
};

}
