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

Core::Duration yieldedTime(std::uint32_t rank, std::uint64_t draw, const QueueSettings &settings)
{
    return draw % settings.m_unyieldingInterval == 0 ? Core::Duration(0) : settings.m_yieldPerRank * std::int64_t{rank};
}

double spareSlotsPerSecond(const QueueForecast &forecast)
{
    return forecast.m_finishedPerSecond + forecast.m_expectedFinishedPerSecond - forecast.m_timelyArrivalsPerSecond;
}

bool canMeetObjective(const QueuedRequest &request, Core::Instant now)
{
    return now <= request.m_objectiveSendDeadline;
}

namespace {

/// Requests that already have a slot in the plan, of all engines or of the engines in some places.
struct PlannedSlots
{
    std::size_t m_timely = 0;
    std::size_t m_late = 0;
};

enum class ExpectedSlot {
    Timely,
    Late,
    None,
};

/// Returns which slot the next request can expect of engines with @p forecast.
ExpectedSlot
expectedSlot(const QueuedRequest &request, const PlannedSlots &planned, const QueueForecast &forecast, Core::Instant now, const QueueSettings &settings)
{
    const double leftPerSecond = forecast.m_finishedPerSecond - request.m_overtakenPerSecond;
    const double untilTimelySlot = secondsUntilSlots(planned.m_timely + 1, forecast.m_freeSlots + request.m_borrowedSlots, leftPerSecond);
    if (isEarlyEnough(untilTimelySlot / settings.m_safetyFactor, request.m_objectiveSendDeadline, now)) {
        return ExpectedSlot::Timely;
    }
    const double untilSlots = Core::secondsBetween(now, now + std::max(forecast.m_untilWeights, forecast.m_untilBackoffEnd));
    const double laterFreeSlots = forecast.m_freeSlots + forecast.m_expectedSlots;
    const double untilSpareSlot = untilSlots + secondsUntilSlots(planned.m_timely + planned.m_late + 1, laterFreeSlots, spareSlotsPerSecond(forecast));
    return isEarlyEnough(untilSpareSlot, request.m_sendDeadline, now) ? ExpectedSlot::Late : ExpectedSlot::None;
}

void addPlanned(PlannedSlots &planned, ExpectedSlot slot)
{
    planned.m_timely += slot == ExpectedSlot::Timely ? 1 : 0;
    planned.m_late += slot == ExpectedSlot::Late ? 1 : 0;
}

}

QueueDecision decideQueue(
    std::vector<QueuedRequest> queued, const QueueForecast &forecast, Core::Instant now, const QueueSettings &settings, const PlaceForecasts &restricted)
{
    const std::vector<QueuedRequest>::iterator firstLate =
        std::partition(queued.begin(), queued.end(), [now](const QueuedRequest &request) { return canMeetObjective(request, now); });
    std::sort(queued.begin(), firstLate, [](const QueuedRequest &left, const QueuedRequest &right) {
        return left.m_objectiveSendDeadline + left.m_yielded < right.m_objectiveSendDeadline + right.m_yielded;
    });
    std::sort(firstLate, queued.end(), [](const QueuedRequest &left, const QueuedRequest &right) {
        return left.m_sendDeadline + left.m_yielded < right.m_sendDeadline + right.m_yielded;
    });
    PlannedSlots planned;
    std::map<AllowedPlaces, PlannedSlots> plannedInPlaces;
    QueueDecision decision;
    for (const QueuedRequest &request : queued) {
        ExpectedSlot slot = expectedSlot(request, planned, forecast, now, settings);
        const PlaceForecasts::const_iterator there = restricted.find(request.m_places);
        if (there != restricted.end()) {
            slot = std::max(slot, expectedSlot(request, plannedInPlaces[request.m_places], there->second, now, settings));
            addPlanned(plannedInPlaces[request.m_places], slot);
        }
        addPlanned(planned, slot);
        (slot == ExpectedSlot::None ? decision.m_rejected : decision.m_order).push_back(request.m_ticket);
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
