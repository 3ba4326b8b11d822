/// @file Performs the requests of a run: one thread that keeps the times of arrival, and workers joined to it by a bounded ring.
#pragma once

#include "LibLoad/Caller.h"
#include "LibLoad/Report.h"
#include "LibLoad/Request.h"

#include <functional>
#include <optional>

namespace Load {

struct LoadRunSettings
{
    CallerSettings m_callers;
    std::uint32_t m_callerCount = 8; ///< Callers that keep addresses of their own.
    std::uint32_t m_concurrency = 256; ///< Requests at once; the size of a closed loop.
    bool m_isClosedLoop = false; ///< A request arrives when one of the places is free, not at its time.
    std::uint64_t m_seed = 1;

    bool operator==(const LoadRunSettings &) const = default;
};

/// Gives the next request, or nothing once the run is over. Called by one thread only.
using NextRequest = std::function<std::optional<Request>()>;
/// Hears of each request that has ended. Called by one thread at a time.
using OnObservation = std::function<void(const Request &, const Observation &)>;

/// Runs until @p next gives nothing and the last request has ended. No request outlives its deadline by more than a grace.
void performLoad(const LoadRunSettings &settings, const NextRequest &next, Report &report, const OnObservation &onObservation);

}
