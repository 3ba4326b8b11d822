/// @file Implementation of the backoff that an endpoint asks for.

#include "LibPlacement/Backoff.h"

#include <algorithm>

namespace Placement {

Backoff extendedBackoff(const Backoff &backoff, Core::Duration asked, Core::Duration spread, Core::Instant now, const BackoffSettings &settings)
{
    if (asked.count() <= 0) {
        return backoff;
    }
    const Core::Instant end = std::max(backoff.m_end, now + std::min(asked, settings.m_maximum) + std::min(spread, settings.m_maximumSpread));
    return Backoff{end, end, end + settings.m_resumeTime};
}

Backoff backoffAfterSend(const Backoff &backoff, Core::Instant now, const BackoffSettings &settings)
{
    Backoff next = backoff;
    if (now < backoff.m_resumed) {
        next.m_nextSend = std::min(backoff.m_resumed, std::max(backoff.m_end, now + settings.m_resumeInterval));
    }
    return next;
}

Core::Instant earliestSend(const Backoff &backoff)
{
    return backoff.m_nextSend;
}

}
