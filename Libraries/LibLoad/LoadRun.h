/// @file Performs the requests of a run: one thread schedules the arrivals and passes them to worker threads through a bounded ring.
#pragma once

#include "LibLoad/Caller.h"
#include "LibLoad/Report.h"
#include "LibLoad/Request.h"

#include <functional>
#include <optional>

namespace Load {

/// Settings of a load run.
struct LoadRunSettings
{
    CallerSettings m_callers;
    std::uint32_t m_callerCount = 8; ///< Number of callers, each with its own address cache.
    std::uint32_t m_concurrency = 256; ///< Number of concurrent requests; the size of a closed loop.
    bool m_isClosedLoop = false; ///< A request arrives when a worker is free instead of at its scheduled time.
    std::uint64_t m_seed = 1;

    bool operator==(const LoadRunSettings &) const = default;
};

/// Returns the next request, or nothing at the end of the run. Called by one thread only.
using NextRequest = std::function<std::optional<Request>()>;
/// Called for each finished request, by one thread at a time.
using OnObservation = std::function<void(const Request &, const Observation &)>;

/// Runs until @p next returns nothing and all requests have finished. Each request ends at the latest a grace period after its deadline.
void performLoad(const LoadRunSettings &settings, const NextRequest &next, Report &report, const OnObservation &onObservation);

}
