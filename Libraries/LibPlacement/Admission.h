/// @file Decides which requests are admitted when the engines are overloaded. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Random.h"
#include "LibFleet/Configuration.h"
#include "LibPlacement/RequestQueue.h"
#include "LibPlacement/SlotTracker.h"

#include <map>
#include <optional>
#include <string>

namespace Placement {

/**
 * Estimates the time that has elapsed since a caller's first try.
 *
 * A caller that retries after a refusal sends a new request that states only its remaining time. The timeouts of first attempts on a route differ too; the
 * estimator learns their spread while no caller has recently been refused. Used by one thread.
 */
class ElapsedTimeEstimator
{
public:
    /// Records the timeout that a caller of the route states, and returns the time since its first try; zero for what may be a first attempt.
    Core::Duration estimateElapsed(const std::string &route, Core::Duration timeout, Core::Instant now);
    /// Records that a caller was refused and is expected to retry.
    void recordRefusal(Core::Instant now);

private:
    struct RouteTimeouts
    {
        Core::Duration m_longest{0};
        Core::Instant m_longestAt;
        std::vector<Core::Duration> m_samples; ///< Timeouts stated while no caller had recently been refused; a ring buffer once it is full.
        std::size_t m_oldestSample = 0; ///< Index of the oldest element of the ring buffer, before it wraps around.
    };

    std::map<std::string, RouteTimeouts> m_routes; ///< By route.
    std::optional<Core::Instant> m_refusedAt;
};

struct AdmissionSettings
{
    double m_slotsPerRequest = 1; ///< Slots that must be free in this process's share for a request to be admitted.
    /// Requests that may queue at an engine beyond its slots. Shares of slots are rounded, and an engine with an empty queue would idle between two reports.
    double m_queuedPerEngine = 0.75;
    /// Slots beyond its share that this process may use for the most urgent requests. Engines start the most urgent first among those that queue there.
    double m_borrowedSlots = 1;
    Core::Duration m_minimumRetryAfter{150}; ///< One and a half times the interval at which a full engine finishes requests.
    Core::Duration m_maximumRetryAfter{1500}; ///< A quarter of the time that callers usually have. A longer delay would only keep them waiting.

    bool operator==(const AdmissionSettings &) const = default;
};

/// Load information, other than the request itself, that admission depends on.
struct AdmissionView
{
    std::size_t m_engines = 0; ///< Engines that have reported recently.
    double m_share = 1; ///< This process's share of their slots, over 0 and at most 1.
    bool m_mayBorrow = false; ///< The request is one of the most urgent of a service with ranks.
};

/**
 * Returns how many slots must be free in this process's share of all slots for a request to be admitted; may be negative.
 *
 * Answers load that exceeds the slots. A process with a small share sees a slot become free only now and then, while the most urgent callers can wait for less
 * than that; engines have one for them much sooner.
 */
double neededSlots(const AdmissionView &view, const AdmissionSettings &settings);

/**
 * Returns the shortest time after which a refused caller should retry: the time in which the engines' spare capacity serves the @p ahead requests that
 * wait here and one more, limited to the bounds in @p settings.
 */
Core::Duration retryAfter(const QueueForecast &forecast, std::size_t ahead, const AdmissionSettings &settings);

/**
 * Returns the time after which a caller should retry if it was refused because no engine has the weights. Links take two seconds to transfer a version, so
 * a caller that retries sooner is refused again and gives up. Callers wait for at most a third of the time that they have left.
 */
Core::Duration retryAfterWithoutWeights(Core::Duration timeLeft, Core::Random &random);

/// Returns the slots of an engine that takes only @p perSecond requests per second. @p interval: time until the next report.
ReportedSlots limitedSlots(const ReportedSlots &slots, double perSecond, Core::Duration interval);

/// Returns the slots of an engine according to its report. @p pace: factor by which the engine is slower than stated; values below 1 count as 1.
ReportedSlots reportedSlots(const Fleet::EngineModel &engine, std::uint32_t running, std::uint32_t waiting, double pace);

}
