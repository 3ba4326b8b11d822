/// @file Implementation of the ordering of waiting requests.

#include "LibPlacement/RequestQueue.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace Placement {

namespace {

constexpr double RateWindowSeconds = 2; ///< Long compared with the time between requests of one process, short compared with a burst.

/// Returns the seconds until @p count requests have slots if @p free slots are free now and @p perSecond become free per second.
double secondsUntilSlots(std::size_t count, double free, double perSecond)
{
    const double missing = static_cast<double>(count) - free;
    if (missing <= 0) {
        return 0;
    }
    return perSecond > 0 ? missing / perSecond : std::numeric_limits<double>::infinity();
}

/// Returns whether a slot that is expected after @p seconds is free early enough for a request that must be sent before @p deadline.
bool isEarlyEnough(double seconds, Core::Instant deadline, Core::Instant now)
{
    return seconds <= Core::secondsBetween(now, deadline);
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
    const std::vector<QueuedRequest>::iterator firstLate =
        std::partition(queued.begin(), queued.end(), [now](const QueuedRequest &request) { return canMeetObjective(request, now); });
    std::sort(queued.begin(), firstLate, [](const QueuedRequest &left, const QueuedRequest &right) {
        return left.m_objectiveSendDeadline < right.m_objectiveSendDeadline;
    });
    std::sort(firstLate, queued.end(), [](const QueuedRequest &left, const QueuedRequest &right) { return left.m_sendDeadline < right.m_sendDeadline; });

    const double untilSlots = Core::secondsBetween(now, now + std::max(forecast.m_untilWeights, forecast.m_untilBackoffEnd));
    const double sparePerSecond = spareSlotsPerSecond(forecast);
    const double laterFreeSlots = forecast.m_freeSlots + forecast.m_expectedSlots;
    std::size_t timelyCount = 0;
    std::size_t lateCount = 0;
    QueueDecision decision;
    for (const QueuedRequest &request : queued) {
        const double untilTimelySlot = secondsUntilSlots(timelyCount + 1, forecast.m_freeSlots, forecast.m_finishedPerSecond);
        if (isEarlyEnough(untilTimelySlot / settings.m_safetyFactor, request.m_objectiveSendDeadline, now)) {
            ++timelyCount;
            decision.m_order.push_back(request.m_ticket);
            continue;
        }
        const double untilSpareSlot = untilSlots + secondsUntilSlots(timelyCount + lateCount + 1, laterFreeSlots, sparePerSecond);
        if (isEarlyEnough(untilSpareSlot, request.m_sendDeadline, now)) {
            ++lateCount;
            decision.m_order.push_back(request.m_ticket);
            continue;
        }
        decision.m_rejected.push_back(request.m_ticket);
    }
    return decision;
}

Core::Duration remainingOutage(Core::Duration lasted, const QueueSettings &settings)
{
    const Core::Duration proportional(static_cast<std::int64_t>(static_cast<double>(lasted.count()) * settings.m_outageGrowth));
    return std::max(settings.m_typicalOutage - lasted, proportional);
}

void EventRate::recordEvent(Core::Instant now)
{
    m_value = value(now) + 1 / RateWindowSeconds;
    m_updatedAt = now;
}

double EventRate::value(Core::Instant now) const
{
    return m_value * std::exp(-std::max(0.0, Core::secondsBetween(m_updatedAt, now)) / RateWindowSeconds);
}

}
