/// @file Which of the requests that wait for a place go first, and which have waited in vain: pure decisions.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <vector>

namespace Placement {

/// A request that waits at this process, as far as the decisions need to know it.
struct QueuedRequest
{
    std::uint64_t m_ticket = 0; ///< Names the request.
    Core::Instant m_objectiveSendDeadline; ///< Sent later, its answer begins after its latency objective.
    Core::Instant m_sendDeadline; ///< Sent later, its answer cannot end within the caller's time.

    bool operator==(const QueuedRequest &) const = default;
};

/// What is expected of the engines that the requests wait for.
struct QueueForecast
{
    Core::Duration m_untilWeights{0}; ///< Until engines have weights; zero if some have.
    double m_freeSlots = 0; ///< This process's part of the places that are free at engines with weights.
    double m_finishedPerSecond = 0; ///< This process's part of the requests that the engines finish.
    double m_timelyArrivalsPerSecond = 0; ///< Requests that come to this process and can still be answered within their objective.
    double m_expectedSlots = 0; ///< This process's part of the places at engines that are listed and have no weights yet.
    double m_expectedFinishedPerSecond = 0; ///< The same of the requests that they will finish.

    bool operator==(const QueueForecast &) const = default;
};

struct QueueSettings
{
    /// Of the time until a request must be sent, the part within which its place must be expected: forecasts are rough.
    double m_safetyFactor = 0.7;
    std::size_t m_maximumRequests = 256; ///< Requests that wait at once.
    std::size_t m_maximumBytes = 8 << 20; ///< Of their bodies, in all.
    Core::Duration m_typicalOutage{1000}; ///< Until engines without weights have them, at the least.
    double m_outageGrowth = 0.5; ///< A longer outage is expected to last on for this part of its length so far.

    bool operator==(const QueueSettings &) const = default;
};

/// Order and fate of the requests in a queue.
struct QueueDecision
{
    std::vector<std::uint64_t> m_order; ///< Tickets of those that go on waiting, the first to be sent first.
    std::vector<std::uint64_t> m_rejected; ///< Tickets of those for which no place is expected in time.

    bool operator==(const QueueDecision &) const = default;
};

/// What the engines, with those that are coming, finish in a second beyond the fresh requests; may be negative.
double spareSlotsPerSecond(const QueueForecast &forecast);

/// Whether sent now its answer would begin within the objective.
bool canMeetObjective(const QueuedRequest &request, Core::Instant now);

/**
 * Orders the requests of one service: first those that can be answered within their objectives, then the others, each by the time that is left for
 * sending them. The latter get what the engines can do beyond the fresh requests that keep coming.
 */
QueueDecision decideQueue(std::vector<QueuedRequest> queued, const QueueForecast &forecast, Core::Instant now, const QueueSettings &settings);

/// How long engines will go on to have no weights after @p lasted without any.
Core::Duration remainingOutage(Core::Duration lasted, const QueueSettings &settings);

/// Rate of events as a moving average over about two seconds. Used by one thread.
class EventRate
{
public:
    void recordEvent(Core::Instant now);
    /// Events a second.
    double value(Core::Instant now) const;

private:
    double m_value = 0;
    Core::Instant m_updatedAt; ///< To which the value refers.
};

}
