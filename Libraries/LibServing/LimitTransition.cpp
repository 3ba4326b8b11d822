/// @file Implementation of the limits around a change.

#include "LibServing/LimitTransition.h"

namespace Serving {

LimitTransition changeLimits(const LimitTransition &transition, const Http::ServerLimits &limits, Core::Instant now)
{
    return LimitTransition{limitsInForce(transition, now), limits, now};
}

Http::ServerLimits limitsInForce(const LimitTransition &transition, Core::Instant now)
{
    const Http::ServerLimits &previous = transition.m_previous;
    Http::ServerLimits limits = transition.m_current;
    if (now - transition.m_changedAt >= LimitGracePeriod) {
        return limits;
    }
    limits.m_maximumHeaderBytes = std::max(limits.m_maximumHeaderBytes, previous.m_maximumHeaderBytes);
    limits.m_maximumBodyBytes = std::max(limits.m_maximumBodyBytes, previous.m_maximumBodyBytes);
    limits.m_headTimeout = std::max(limits.m_headTimeout, previous.m_headTimeout);
    limits.m_bodyTimeout = std::max(limits.m_bodyTimeout, previous.m_bodyTimeout);
    limits.m_idleTimeout = std::max(limits.m_idleTimeout, previous.m_idleTimeout);
    return limits;
}

}
