/// @file Implementation of the decisions on waiting requests.

#include "LibPlacement/RequestQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Placement {

namespace {

constexpr double RateMemorySeconds = 2; ///< Long against the gaps between requests of one process, short against a burst.

/// Seconds until @p count requests have got places of which @p free are there and @p perSecond become free.
double secondsFor(std::size_t count, double free, double perSecond)
{
    const double missing = static_cast<double>(count) - free;
    if (missing <= 0) {
        return 0;
    }
    return perSecond > 0 ? missing / perSecond : std::numeric_limits<double>::infinity();
}

/// Whether a place that is expected after @p seconds comes early enough for a request that must be sent before @p latest.
bool isEarlyEnough(double seconds, Core::Instant latest, Core::Instant now)
{
    return seconds <= Core::secondsBetween(now, latest);
}

}

double sparePerSecond(const QueueForecast &forecast)
{
    return forecast.m_placesPerSecond + forecast.m_comingPerSecond - forecast.m_freshPerSecond;
}

bool canBeInTime(const QueuedRequest &request, Core::Instant now)
{
    return now <= request.m_latestInTime;
}

QueueDecision decideQueue(std::vector<QueuedRequest> queued, const QueueForecast &forecast, Core::Instant now, const QueueSettings &settings)
{
    const std::vector<QueuedRequest>::iterator late =
        std::partition(queued.begin(), queued.end(), [now](const QueuedRequest &request) { return canBeInTime(request, now); });
    std::sort(queued.begin(), late, [](const QueuedRequest &left, const QueuedRequest &right) { return left.m_latestInTime < right.m_latestInTime; });
    std::sort(late, queued.end(), [](const QueuedRequest &left, const QueuedRequest &right) { return left.m_latest < right.m_latest; });

    const double untilWeights = Core::secondsBetween(now, now + forecast.m_untilWeights);
    const double spare = sparePerSecond(forecast);
    const double freeLater = forecast.m_freePlaces + forecast.m_comingPlaces;
    std::size_t inTime = 0;
    std::size_t afterwards = 0;
    QueueDecision decision;
    for (const QueuedRequest &request : queued) {
        const double freshPlace = secondsFor(inTime + 1, forecast.m_freePlaces, forecast.m_placesPerSecond);
        if (isEarlyEnough(freshPlace / settings.m_trustedShare, request.m_latestInTime, now)) {
            ++inTime;
            decision.m_order.push_back(request.m_ticket);
            continue;
        }
        const double sparePlace = untilWeights + secondsFor(inTime + afterwards + 1, freeLater, spare);
        if (isEarlyEnough(sparePlace, request.m_latest, now)) {
            ++afterwards;
            decision.m_order.push_back(request.m_ticket);
            continue;
        }
        decision.m_hopeless.push_back(request.m_ticket);
    }
    return decision;
}

Core::Duration remainingOutage(Core::Duration lasted, const QueueSettings &settings)
{
    const Core::Duration growing(static_cast<std::int64_t>(static_cast<double>(lasted.count()) * settings.m_outageGrowth));
    return std::max(settings.m_usualOutage - lasted, growing);
}

void EventRate::happened(Core::Instant now)
{
    m_value = value(now) + 1 / RateMemorySeconds;
    m_at = now;
}

double EventRate::value(Core::Instant now) const
{
    return m_value * std::exp(-std::max(0.0, Core::secondsBetween(m_at, now)) / RateMemorySeconds);
}

}
