/// @file Which requests are admitted when there is more work than the engines can do: pure decisions.
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
 * Tells how long a caller has waited already.
 *
 * A caller that comes back after a refusal sends a new request, which states only the time that is left. Fresh callers of a route do not all state the
 * same time either; how far they differ is learned while nobody was refused. Used by one thread.
 */
class ElapsedTimeEstimator
{
public:
    /// Notes what a caller of the route states, and returns the time that it has lost since its first try; zero for what may be a fresh one.
    Core::Duration estimateElapsed(const std::string &route, Core::Duration patience, Core::Instant now);
    /// Notes that a caller was refused, who will come back.
    void recordRefusal(Core::Instant now);

private:
    struct RouteTimeouts
    {
        Core::Duration m_longest{0};
        Core::Instant m_longestAt;
        std::vector<Core::Duration> m_samples; ///< Stated while nobody was refused; a ring once it is full.
        std::size_t m_oldestSample = 0; ///< Oldest element of the ring.
    };

    std::map<std::string, RouteTimeouts> m_routes; ///< By route.
    std::optional<Core::Instant> m_refusedAt;
};

struct AdmissionSettings
{
    double m_slotsPerRequest = 1; ///< Places that a request needs in this process's part.
    /// Requests that may queue at an engine beyond its slots: parts of places are rounded, and an engine whose queue is empty idles between two reports.
    double m_queuedPerEngine = 0.75;
    Core::Duration m_minimumRetryAfter{150}; ///< One request of a full engine, and a half.
    Core::Duration m_maximumRetryAfter{1500}; ///< A quarter of the time that callers have; later they would only have been kept waiting.

    bool operator==(const AdmissionSettings &) const = default;
};

/// What admission depends on besides the request.
struct AdmissionView
{
    std::size_t m_engines = 0; ///< From which reports came lately.
    double m_share = 1; ///< This process's part of their places.
};

/// Places that a request needs in this process's part of all places; may be negative.
double neededSlots(const AdmissionView &view, const AdmissionSettings &settings);

/**
 * Shortest time until a caller that was refused should come back: until the @p ahead requests that wait here have got what the engines can do beyond
 * fresh requests; within bounds.
 */
Core::Duration retryAfter(const QueueForecast &forecast, std::size_t ahead, const AdmissionSettings &settings);

/**
 * When a caller should come back that was refused because no engine has the weights. They arrive over links that take two seconds for a version; who
 * comes back sooner is refused once more and gives up. Callers wait for a third of the time that they have left at most.
 */
Core::Duration retryAfterWithoutWeights(Core::Duration timeLeft, Core::Random &random);

/// What a report says of an engine's places.
ReportedSlots reportedSlots(const Fleet::EngineModel &engine, std::uint32_t running, std::uint32_t waiting, double pace);

}
