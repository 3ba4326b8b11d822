/// @file A discrete-event simulation of entries that route requests to engines with the real scheduler.
#pragma once

#include "LibRouting/Scheduler.h"

#include <deque>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace MeasureRouting {

/// Parameters of a simulation. Times are in seconds.
struct Parameters
{
    Routing::Strategy m_strategy = Routing::Strategy::PrefixAffinity;
    std::size_t m_engines = 20;
    std::size_t m_entries = 4;
    std::size_t m_watchedEngines = 24; ///< Number of engines that each entry watches.
    std::uint32_t m_capacity = 8; ///< Number of concurrent requests of an engine.
    double m_meanServiceTime = 2; ///< Mean service time of a request without a cached prefix, at an engine of normal speed.
    double m_slowShare = 0.05; ///< Fraction of slow engines; at least one engine is slow.
    double m_slowFactor = 4; ///< Factor by which the service time is longer at a slow engine.
    double m_cacheGain = 0.3; ///< Fraction of the service time saved by a cached prefix.
    std::size_t m_cachedPrefixes = 16; ///< Number of prefixes cached by an engine.
    std::size_t m_prefixesPerAccount = 20;
    double m_reportInterval = 1;
    double m_reportLag = 0.5; ///< Delay of a report from an engine to an entry.
    double m_load = 0.8; ///< Offered load, relative to the capacity of all engines without cached prefixes.
    double m_seconds = 200;
    double m_timeout = 30;
    std::uint64_t m_seed = 1;
};

constexpr std::size_t Accounts = 10;

/// Results of a simulation. Durations are in seconds, from the arrival of a request to its end, and cover requests that finished within their timeout.
struct SimulationResult
{
    double m_median = 0; ///< Median duration.
    double m_percentile99 = 0; ///< 99th percentile of the duration.
    double m_smallPercentile99 = 0; ///< 99th percentile of the duration for small accounts.
    double m_rejected = 0; ///< Fraction of requests rejected immediately.
    double m_late = 0; ///< Fraction of requests that timed out.
    double m_cacheHits = 0; ///< Fraction of started requests that found their prefix in the cache.
    double m_smallServed = 0; ///< Fraction of the requests of small accounts that finished within their timeout.
    double m_largeServed = 0; ///< The same for large accounts.
};

/// Returns the fraction of all requests sent by an account. There are three large accounts and seven small ones.
double accountShare(std::size_t account);

/// Runs a simulation. Equal parameters give equal results.
SimulationResult simulate(const Parameters &parameters);

}
