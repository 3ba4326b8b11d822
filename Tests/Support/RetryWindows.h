/// @file The platform's limit on the retries of a service, as its endpoints can check it from the times of requests and arrivals.
#pragma once

#include "LibCore/Clock.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace TestSupport {

struct RetryLimit
{
    double m_ratio = 0.2; ///< Retries that each request allows.
    double m_slack = 0; ///< Further retries within a window.
    Core::Duration m_window{10000}; ///< Any span of this length counts.
};

/// What arrived within a window, and what was allowed.
struct RetryUse
{
    std::size_t m_retries = 0;
    double m_allowed = 1; ///< Greater than 0.

    /// Returns the part of the limit that was used; the limit is 1.
    double part() const
    {
        return static_cast<double>(m_retries) / m_allowed;
    }
};

/// Returns how many of the times, which are in order, lie within the window that begins at @p from.
inline std::size_t countWithin(const std::vector<Core::Instant> &times, Core::Instant from, Core::Duration window)
{
    const std::vector<Core::Instant>::const_iterator first = std::lower_bound(times.begin(), times.end(), from);
    return static_cast<std::size_t>(std::lower_bound(first, times.end(), from + window) - first);
}

/// Returns the use of the window that begins at @p from. The requests of that window, of the one before it and of the one half a window before it count,
/// whichever has most. Both lists are in order.
inline RetryUse retryUse(const std::vector<Core::Instant> &requests, const std::vector<Core::Instant> &retries, Core::Instant from, const RetryLimit &limit)
{
    const Core::Duration window = limit.m_window;
    const std::size_t counted =
        std::max({countWithin(requests, from, window), countWithin(requests, from - window / 2, window), countWithin(requests, from - window, window)});
    return RetryUse{countWithin(retries, from, window), limit.m_ratio * static_cast<double>(counted) + limit.m_slack};
}

/// Returns the use of the worst window. A worst window begins with a retry.
inline RetryUse worstRetryUse(const std::vector<Core::Instant> &requests, const std::vector<Core::Instant> &retries, const RetryLimit &limit)
{
    RetryUse worst;
    for (const Core::Instant from : retries) {
        const RetryUse use = retryUse(requests, retries, from, limit);
        worst = use.part() > worst.part() ? use : worst;
    }
    return worst;
}

}
