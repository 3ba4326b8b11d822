/// @file Implementation of request admission under overload.

#include "LibPlacement/Admission.h"

#include "LibPlacement/EngineForecast.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr Core::Duration LongestTimeoutLifetime{20000}; ///< After this time a route's longest timeout is learned again, because operators change time limits.
constexpr Core::Duration SamplingPauseAfterRefusal{3500}; ///< Within this time a refused caller has retried or given up.
constexpr std::size_t MaximumSamples = 64; ///< Per route: about ten seconds of one process's traffic.
constexpr std::size_t MinimumSamples = 20;
/// Of the sampled timeouts, the shortest are ignored as outliers: one in this many. Their callers may have spent time elsewhere, for example on a failed
/// connection.
constexpr std::size_t OutlierDivisor = 20;
constexpr std::int64_t DefaultSpreadDivisor =
    6; ///< Until there are enough samples, the spread of timeouts is assumed to be the longest timeout divided by this.
constexpr std::int64_t MaximumSpreadDivisor = 4; ///< The learned spread is limited to the longest timeout divided by this.

/// Returns the shortest timeout that a first attempt is expected to state, from the timeouts that were sampled while no refused caller could be retrying.
Core::Duration shortestFirstAttemptTimeout(Core::Duration longest, std::vector<Core::Duration> timeouts)
{
    if (timeouts.size() < MinimumSamples) {
        return longest - longest / DefaultSpreadDivisor;
    }
    const std::vector<Core::Duration>::iterator shortestLikely = timeouts.begin() + static_cast<std::ptrdiff_t>(timeouts.size() / OutlierDivisor);
    std::nth_element(timeouts.begin(), shortestLikely, timeouts.end());
    return std::max(*shortestLikely, longest - longest / MaximumSpreadDivisor);
}

}

Core::Duration ElapsedTimeEstimator::estimateElapsed(const std::string &route, Core::Duration timeout, Core::Instant now)
{
    RouteTimeouts &timeouts = m_routes[route];
    if (timeout >= timeouts.m_longest || now - timeouts.m_longestAt > LongestTimeoutLifetime) {
        timeouts.m_longest = timeout;
        timeouts.m_longestAt = now;
    }
    if (!m_refusedAt || now - *m_refusedAt > SamplingPauseAfterRefusal) {
        if (timeouts.m_samples.size() < MaximumSamples) {
            timeouts.m_samples.push_back(timeout);
        } else {
            timeouts.m_samples[timeouts.m_oldestSample++ % MaximumSamples] = timeout;
        }
    }
    const Core::Duration shortest = shortestFirstAttemptTimeout(timeouts.m_longest, timeouts.m_samples);
    return timeout >= shortest ? Core::Duration(0) : (timeouts.m_longest + shortest) / 2 - timeout;
}

void ElapsedTimeEstimator::recordRefusal(Core::Instant now)
{
    m_refusedAt = now;
}

double neededSlots(const AdmissionView &view, const AdmissionSettings &settings)
{
    const double ownEngines = static_cast<double>(view.m_engines) * view.m_share;
    return settings.m_slotsPerRequest - settings.m_queuedPerEngine * ownEngines - (view.m_mayBorrow ? settings.m_borrowedSlots : 0);
}

Core::Duration retryAfter(const QueueForecast &forecast, std::size_t ahead, const AdmissionSettings &settings)
{
    constexpr double millisecondsPerSecond = 1000;
    const double spare = spareSlotsPerSecond(forecast);
    if (spare <= 0) {
        return settings.m_maximumRetryAfter;
    }
    const double milliseconds =
        std::min(static_cast<double>(ahead + 1) / spare * millisecondsPerSecond, static_cast<double>(settings.m_maximumRetryAfter.count()));
    return std::max(settings.m_minimumRetryAfter, Core::Duration(static_cast<std::int64_t>(milliseconds)));
}

Core::Duration retryAfterWithoutWeights(Core::Duration timeLeft, Core::Random &random)
{
    constexpr double waitedShare = 1.0 / 3; // Callers wait for at most this share of the time that they have left.
    constexpr double spread = 0.15; // Spreads the retries of callers that were refused together.
    const double milliseconds = static_cast<double>(std::max(timeLeft, Core::Duration(0)).count());
    return Core::Duration(static_cast<std::int64_t>(milliseconds * waitedShare * (1 - spread * random.unit())));
}

ReportedSlots limitedSlots(const ReportedSlots &slots, double perSecond, Core::Duration interval)
{
    constexpr double millisecondsPerSecond = 1000;
    ReportedSlots limited = slots;
    limited.m_free = std::min(slots.m_free, perSecond * static_cast<double>(interval.count()) / millisecondsPerSecond);
    limited.m_finishedPerSecond = std::min(slots.m_finishedPerSecond, perSecond);
    return limited;
}

ReportedSlots reportedSlots(const Fleet::EngineModel &engine, std::uint32_t running, std::uint32_t waiting, double pace)
{
    ReportedSlots slots;
    slots.m_maximum = engine.m_slots;
    slots.m_free = slots.m_maximum - running - waiting;
    slots.m_finishedPerSecond = finishedPerSecond(engine) / std::max(pace, 1.0);
    return slots;
}

}
