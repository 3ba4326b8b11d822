/// @file Limits for callers around a change of the configuration. A pure function.
#pragma once

#include "LibHttp/ServerConnection.h"

namespace Serving {

/**
 * For this long after a change, callers may not know it. Callers reuse connections that have been idle for most of the time that they know, and send what
 * the sizes that they know allow.
 */
inline constexpr Core::Duration LimitGracePeriod{5000};

/// The limits of the newest configuration and those of the one before.
struct LimitTransition
{
    Http::ServerLimits m_previous;
    Http::ServerLimits m_current;
    Core::Instant m_changedAt; ///< When m_current came into force.

    bool operator==(const LimitTransition &) const = default;
};

/// Returns the transition after another change at @p now. Limits that are still in force for callers who do not know a change stay so.
LimitTransition changeLimits(const LimitTransition &transition, const Http::ServerLimits &limits, Core::Instant now);

/// Returns the limits to apply at @p now: each is the wider one of the two configurations until the grace period is over.
Http::ServerLimits limitsInForce(const LimitTransition &transition, Core::Instant now);

}
