/// @file Implementation of the admission.

#include "LibPlacement/Admission.h"

#include "LibPlacement/EngineForecast.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr Core::Duration Memory{20000}; ///< After it a route's longest patience is learned anew, since operators change time limits.
constexpr Core::Duration CalmAfterRefusal{3500}; ///< By then whoever was refused has come back or given up.
constexpr std::size_t KeptPatiences = 64; ///< Of a route: some ten seconds of one process.
constexpr std::size_t EnoughPatiences = 20;
constexpr std::size_t OutlierParts = 20; ///< One in so many callers may have lost time elsewhere, as on a connection that failed.
constexpr std::int64_t UnknownSpreadParts = 6; ///< Of the longest patience: the spread that is assumed until enough callers were seen.
constexpr std::int64_t MostSpreadParts = 4; ///< The same for the widest spread that is believed.

/// The shortest time that a fresh caller states, judged by the times that callers stated while none came back.
Core::Duration shortestFresh(Core::Duration longest, std::vector<Core::Duration> stated)
{
    if (stated.size() < EnoughPatiences) {
        return longest - longest / UnknownSpreadParts;
    }
    const std::vector<Core::Duration>::iterator low = stated.begin() + static_cast<std::ptrdiff_t>(stated.size() / OutlierParts);
    std::nth_element(stated.begin(), low, stated.end());
    return std::max(*low, longest - longest / MostSpreadParts);
}

}

Core::Duration ElapsedTimeEstimator::estimateElapsed(const std::string &route, Core::Duration patience, Core::Instant now)
{
    RouteTimeouts &stated = m_routes[route];
    if (patience >= stated.m_longest || now - stated.m_longestAt > Memory) {
        stated.m_longest = patience;
        stated.m_longestAt = now;
    }
    if (!m_refusedAt || now - *m_refusedAt > CalmAfterRefusal) {
        if (stated.m_samples.size() < KeptPatiences) {
            stated.m_samples.push_back(patience);
        } else {
            stated.m_samples[stated.m_oldestSample++ % KeptPatiences] = patience;
        }
    }
    const Core::Duration shortest = shortestFresh(stated.m_longest, stated.m_samples);
    return patience >= shortest ? Core::Duration(0) : (stated.m_longest + shortest) / 2 - patience;
}

void ElapsedTimeEstimator::recordRefusal(Core::Instant now)
{
    m_refusedAt = now;
}

double neededSlots(const AdmissionView &view, const AdmissionSettings &settings)
{
    const double ownEngines = static_cast<double>(view.m_engines) * view.m_share;
    return settings.m_slotsPerRequest - settings.m_queuedPerEngine * ownEngines;
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
    constexpr double waitedShare = 1.0 / 3; // Of the time left, which callers wait at most.
    constexpr double spread = 0.15; // So that those who were refused together do not come back together.
    const double milliseconds = static_cast<double>(std::max(timeLeft, Core::Duration(0)).count());
    return Core::Duration(static_cast<std::int64_t>(milliseconds * waitedShare * (1 - spread * random.unit())));
}

ReportedSlots reportedSlots(const Fleet::EngineModel &engine, std::uint32_t running, std::uint32_t waiting, double pace)
{
    ReportedSlots places;
    places.m_maximum = engine.m_slots;
    places.m_free = places.m_maximum - running - waiting;
    places.m_finishedPerSecond = finishedPerSecond(engine) / std::max(pace, 1.0);
    return places;
}

}
