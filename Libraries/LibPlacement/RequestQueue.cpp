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

double spareSlotsPerSecond(const QueueForecast &forecast)
{
    return forecast.m_finishedPerSecond + forecast.m_expectedFinishedPerSecond - forecast.m_timelyArrivalsPerSecond;
}

bool canMeetObjective(const QueuedRequest &request, Core::Instant now)
{
    return now <= request.m_objectiveSendDeadline;
}

QueueDecision decideQueue(std::vector<QueuedRequest> queued, const QueueForecast &forecast, Core::Instant now, const QueueSettings &settings)
{
    const std::vector<QueuedRequest>::iterator late =
        std::partition(queued.begin(), queued.end(), [now](const QueuedRequest &request) { return canMeetObjective(request, now); });
    std::sort(queued.begin(), late, [](const QueuedRequest &left, const QueuedRequest &right) {
        return left.m_objectiveSendDeadline < right.m_objectiveSendDeadline;
    });
    std::sort(late, queued.end(), [](const QueuedRequest &left, const QueuedRequest &right) { return left.m_sendDeadline < right.m_sendDeadline; });

    const double untilWeights = Core::secondsBetween(now, now + forecast.m_untilWeights);
    const double spare = spareSlotsPerSecond(forecast);
    const double freeLater = forecast.m_freeSlots + forecast.m_expectedSlots;
    std::size_t inTime = 0;
    std::size_t afterwards = 0;
    QueueDecision decision;
    for (const QueuedRequest &request : queued) {
        const double freshPlace = secondsFor(inTime + 1, forecast.m_freeSlots, forecast.m_finishedPerSecond);
        if (isEarlyEnough(freshPlace / settings.m_safetyFactor, request.m_objectiveSendDeadline, now)) {
            ++inTime;
            decision.m_order.push_back(request.m_ticket);
            continue;
        }
        const double sparePlace = untilWeights + secondsFor(inTime + afterwards + 1, freeLater, spare);
        if (isEarlyEnough(sparePlace, request.m_sendDeadline, now)) {
            ++afterwards;
            decision.m_order.push_back(request.m_ticket);
            continue;
        }
        decision.m_rejected.push_back(request.m_ticket);
    }
    return decision;
}

Core::Duration remainingOutage(Core::Duration lasted, const QueueSettings &settings)
{
    const Core::Duration growing(static_cast<std::int64_t>(static_cast<double>(lasted.count()) * settings.m_outageGrowth));
    return std::max(settings.m_typicalOutage - lasted, growing);
}

void EventRate::recordEvent(Core::Instant now)
{
    m_value = value(now) + 1 / RateMemorySeconds;
    m_updatedAt = now;
}

double EventRate::value(Core::Instant now) const
{
    return m_value * std::exp(-std::max(0.0, Core::secondsBetween(m_updatedAt, now)) / RateMemorySeconds);
}

}
