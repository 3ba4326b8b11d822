/// @file The time for which an endpoint has asked this process to send it nothing. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"

namespace Placement {

struct BackoffSettings
{
    /// Longer times are shortened to this, so that one wrong answer cannot cost an endpoint for good. Longer than endpoints in need ask for.
    Core::Duration m_maximum{300000};
    Core::Duration m_maximumSpread{250}; ///< Added at random, so that processes that were refused together do not return together.
    Core::Duration m_resumeTime{1000}; ///< For this time after the end the endpoint may still refuse, and gets requests one by one.
    Core::Duration m_resumeInterval{100}; ///< Between these requests: several round trips to any endpoint.

    bool operator==(const BackoffSettings &) const = default;
};

/**
 * The time for which an incarnation of an endpoint wants no requests of this process.
 *
 * Unlike avoidance after failures it is the endpoint's own statement: neither successes nor reports nor the lack of other endpoints shorten it.
 */
struct Backoff
{
    Core::Instant m_end; ///< No request before it.
    Core::Instant m_nextSend; ///< At least m_end. Until m_resumed, no request before it.
    Core::Instant m_resumed; ///< From then on there is no restriction.

    bool operator==(const Backoff &) const = default;
};

/// Returns the backoff after the endpoint has asked for @p asked. @p spread: added to it; at most the maximum spread.
Backoff extendedBackoff(const Backoff &backoff, Core::Duration asked, Core::Duration spread, Core::Instant now, const BackoffSettings &settings);

/// Returns the backoff after a request was sent.
Backoff backoffAfterSend(const Backoff &backoff, Core::Instant now, const BackoffSettings &settings);

/// Returns the earliest time at which the endpoint may get a request; in the past if it may get one now.
Core::Instant earliestSend(const Backoff &backoff);

}
