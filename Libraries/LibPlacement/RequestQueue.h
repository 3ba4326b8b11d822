/// @file Orders the requests that wait for a slot and rejects those without a chance. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"
#include "LibPlacement/AllowedPlaces.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Placement {

/// Properties of a waiting request that the decisions depend on.
struct QueuedRequest
{
    std::uint64_t m_ticket = 0; ///< Identifies the request.
    Core::Instant m_objectiveSendDeadline; ///< If the request is sent later, its answer begins after its latency objective.
    Core::Instant m_sendDeadline; ///< If the request is sent later, its answer cannot end within the caller's timeout.
    AllowedPlaces m_places; ///< Only slots there are of use to it.
    Core::Duration m_yielded{0}; ///< Time by which it goes behind more urgent requests that must be sent by the same time; see yieldedTime().
    double m_borrowedSlots = 0; ///< Slots that it may use beyond those of this process's share.
    double m_overtakenPerSecond = 0; ///< More urgent requests that arrive at this process per second and will go before it.

    bool operator==(const QueuedRequest &) const = default;
};

/// Expected capacity of the engines that the requests wait for.
struct QueueForecast
{
    Core::Duration m_untilWeights{0}; ///< Time until engines have weights; zero if some have them now.
    double m_freeSlots = 0; ///< This process's share of the free slots at engines with weights.
    double m_finishedPerSecond = 0; ///< This process's share of the requests that these engines finish per second.
    double m_timelyArrivalsPerSecond = 0; ///< Requests per second that arrive at this process and can still be answered within their objective.
    double m_expectedSlots = 0; ///< This process's share of the slots at listed engines that have no weights yet or accept no requests.
    double m_expectedFinishedPerSecond = 0; ///< This process's share of the requests that those engines will finish per second.
    Core::Duration m_untilBackoffEnd{0}; ///< Time until the first engine accepts requests of this process again; zero if some engine does now.

    bool operator==(const QueueForecast &) const = default;
};

/// Expected capacity of the engines of each set of places that some waiting request is restricted to.
using PlaceForecasts = std::map<AllowedPlaces, QueueForecast>;

struct QueueSettings
{
    /// Part of the time until a request must be sent within which its slot must be expected, because forecasts are imprecise.
    double m_safetyFactor = 0.7;
    std::size_t m_maximumRequests = 256; ///< Maximum number of waiting requests.
    std::size_t m_maximumBytes = 8 << 20; ///< Maximum total size of their bodies.
    Core::Duration m_typicalOutage{1000}; ///< Shortest total time after which engines without weights are expected to have them.
    Core::Duration m_yieldPerRank{500}; ///< A request goes behind one that is more urgent by one rank if it must be sent at most this much sooner.
    /// One in this many less urgent requests does not yield, so that a rank is served at least this much less often than the most urgent one, and not never.
    std::uint64_t m_unyieldingInterval = 4;
    double m_outageGrowth = 0.5; ///< A longer outage is expected to go on for this part of its duration so far.

    bool operator==(const QueueSettings &) const = default;
};

/// Decision on the requests in a queue.
struct QueueDecision
{
    std::vector<std::uint64_t> m_order; ///< Tickets of the requests that keep waiting, in the order in which they are sent.
    std::vector<std::uint64_t> m_rejected; ///< Tickets of the requests for which no slot is expected in time.

    bool operator==(const QueueDecision &) const = default;
};

/**
 * Returns the time by which a request of the rank, where 0 is the most urgent, goes behind more urgent ones that must be sent by the same time.
 *
 * Answers load that exceeds the slots for longer than callers can wait, when some must be refused. @p draw: a number of the request's own.
 */
Core::Duration yieldedTime(std::uint32_t rank, std::uint64_t draw, const QueueSettings &settings);

/// Returns the requests that the engines, including those that will get weights, finish per second beyond the timely arrivals; may be negative.
double spareSlotsPerSecond(const QueueForecast &forecast);

/// Returns whether the answer would begin within the latency objective if the request was sent now.
bool canMeetObjective(const QueuedRequest &request, Core::Instant now);

/**
 * Orders the requests of one service: first those that can be answered within their objectives, then the others, each group by the time left for sending.
 * The second group gets the capacity that the engines have beyond the timely requests that keep arriving. A request that is restricted to some places needs a
 * slot both of all engines, where it competes with every request before it, and of the engines there; @p restricted holds their forecasts.
 */
QueueDecision decideQueue(
    std::vector<QueuedRequest> queued, const QueueForecast &forecast, Core::Instant now, const QueueSettings &settings, const PlaceForecasts &restricted = {});

/// Returns the time for which engines are expected to remain without weights after having had none for @p lasted.
Core::Duration remainingOutage(Core::Duration lasted, const QueueSettings &settings);

/// Rate of events, averaged over about two seconds with exponential decay. Used by one thread.
class EventRate
{
public:
    void recordEvent(Core::Instant now);
    /// Returns the events per second.
    double value(Core::Instant now) const;

private:
    double m_value = 0;
    Core::Instant m_updatedAt; ///< Time that m_value refers to.
};

}
