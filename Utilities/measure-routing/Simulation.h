/// @file A discrete-event simulation of entries that route requests to engines, around the product's own scheduler.
#pragma once

#include "LibRouting/Scheduler.h"

#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace MeasureRouting {

/// What is simulated. Times are in seconds.
struct Parameters
{
    Routing::Strategy m_strategy = Routing::Strategy::PrefixAffinity;
    std::size_t m_engines = 20;
    std::size_t m_entries = 4;
    std::size_t m_watchedEngines = 24; ///< Engines that each entry knows of.
    std::uint32_t m_capacity = 8; ///< Requests that an engine runs at once.
    double m_meanServiceTime = 2; ///< Of a request without a cached prefix, at an engine of normal speed.
    double m_slowShare = 0.05; ///< Of the engines; at least one.
    double m_slowFactor = 4;
    double m_cacheGain = 0.3; ///< Share of the service time that a cached prefix saves.
    std::size_t m_cachedPrefixes = 16; ///< That an engine keeps.
    std::size_t m_prefixesPerAccount = 20;
    double m_reportInterval = 1;
    double m_reportLag = 0.5;
    double m_load = 0.8; ///< Offered, relative to what all engines can do without caches.
    double m_seconds = 200;
    double m_timeout = 30;
    std::uint64_t m_seed = 1;
};

constexpr std::size_t Accounts = 10;

/// What came of it.
struct SimulationResult
{
    double m_median = 0; ///< Of the time from a request's arrival to its end, among those that ended in time.
    double m_percentile99 = 0; ///< 99th percentile of the same.
    double m_smallPercentile99 = 0; ///< The same, for the small accounts only.
    double m_rejected = 0; ///< Share of the requests refused at once.
    double m_late = 0; ///< Share that ran out of time.
    double m_cacheHits = 0; ///< Share of the requests run that found their prefix.
    double m_smallServed = 0; ///< Share of the small accounts' requests that ended in time.
    double m_largeServed = 0;
};

/// The share of all requests that an account sends: three large ones, seven small.
double accountShare(std::size_t account);

SimulationResult simulate(const Parameters &parameters);

}
