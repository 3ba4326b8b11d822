/// @file Why a request that an endpoint has failed is not sent to another one.
#pragma once

#include <cstddef>
#include <string_view>

namespace Relay {

enum class RetryObstacle {
    None,
    MayHaveRun, ///< The request may run only once, or its answer can be continued only where it began.
    EndsEndpoints, ///< Too many endpoints have ended under the request.
    NoAttemptLeft, ///< It was sent to as many endpoints as its route allows.
    NoTimeLeft, ///< Its deadline is too near.
    CallerLeaves, ///< Its caller leaves before another attempt could be of use.
    NoBudget, ///< The retry budget of the service allows no retry.
    NoEndpoint, ///< No endpoint may take it, and it may not wait for one.
    ProcessLeaves, ///< This process is leaving, and the request would not end before.
};

inline constexpr std::size_t RetryObstacleCount = 9;

/// Returns the name of the obstacle in logs and metrics.
constexpr std::string_view retryObstacleName(RetryObstacle obstacle)
{
    switch (obstacle) {
    case RetryObstacle::None:
        return "none";
    case RetryObstacle::MayHaveRun:
        return "may_have_run";
    case RetryObstacle::EndsEndpoints:
        return "ends_endpoints";
    case RetryObstacle::NoAttemptLeft:
        return "no_attempt_left";
    case RetryObstacle::NoTimeLeft:
        return "no_time_left";
    case RetryObstacle::CallerLeaves:
        return "caller_leaves";
    case RetryObstacle::NoBudget:
        return "no_budget";
    case RetryObstacle::NoEndpoint:
        return "no_endpoint";
    case RetryObstacle::ProcessLeaves:
        return "process_leaves";
    }
    return "unknown";
}

}
