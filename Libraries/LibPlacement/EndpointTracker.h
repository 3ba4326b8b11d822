/// @file What this process has learned of each endpoint from reports, answers and failures.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/FleetState.h"
#include "LibPlacement/EngineForecast.h"

#include <map>
#include <optional>
#include <string>

namespace Placement {

/// What the process beside an engine says of it.
struct EngineReport
{
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    double m_pace = 1;
    bool m_isLoading = false; ///< It takes nothing new until other weights are loaded.
    std::vector<Fleet::LoadedWeights> m_weights;

    bool operator==(const EngineReport &) const = default;

    MSGPACK_DEFINE_ARRAY(m_running, m_waiting, m_pace, m_isLoading, m_weights);
};

/// Why a request did not get an answer from an endpoint.
enum class EndpointFailure {
    Unreachable, ///< No connection.
    ConnectionLost, ///< The connection broke or fell silent after the request was sent.
    Refused, ///< It said that it did not run the request, being full.
    WrongInstance, ///< Another endpoint has the address now.
    BadAnswer, ///< The answer was not one, or a failure of its own.
};

struct EndpointRecord
{
    std::uint64_t m_startedMilliseconds = 0; ///< Incarnation that the rest is about.
    EndpointLoad m_load;
    std::optional<Core::Instant> m_reportedAt; ///< When the load was last reported.
    std::optional<EngineReport> m_engineReport; ///< The last report of the process beside it.
    Core::Instant m_engineReportedAt;
    Core::Instant m_avoidUntil; ///< No requests before, if there is any other choice.
    std::uint32_t m_consecutiveFailures = 0;
    double m_averageMilliseconds = 0; ///< Moving average of answer times of a plain service; 0 until one was measured.
};

/// How long an endpoint is passed over after failures.
struct AvoidanceSettings
{
    Core::Duration m_initial{400}; ///< After one failure: longer than a burst of failures of one cause, far shorter than a heartbeat.
    Core::Duration m_maximum{3000}; ///< Doubled up to this with each failure in a row: about when a dead endpoint leaves the list.
    Core::Duration m_afterRefusal{60}; ///< A full engine finishes a request about every 100 ms.

    bool operator==(const AvoidanceSettings &) const = default;
};

/// Records by endpoint id. Used by one thread.
class EndpointTracker
{
public:
    explicit EndpointTracker(AvoidanceSettings settings = {});

    /// The record of an incarnation; one of an earlier incarnation is replaced.
    EndpointRecord &getOrCreate(const Fleet::Endpoint &endpoint);
    /// The record as it is; a default one if nothing is known.
    const EndpointRecord &get(const Fleet::Endpoint &endpoint) const;

    void recordSent(const Fleet::Endpoint &endpoint);
    void recordEnded(const Fleet::Endpoint &endpoint);
    void recordLoad(const Fleet::Endpoint &endpoint, std::uint32_t running, std::uint32_t waiting, Core::Instant now);
    void recordEngineReport(const Fleet::Endpoint &endpoint, const EngineReport &report, Core::Instant now);
    void recordSuccess(const Fleet::Endpoint &endpoint, double milliseconds);
    void recordFailure(const Fleet::Endpoint &endpoint, EndpointFailure failure, Core::Instant now);
    /// Drops the records of endpoints that are not known any more.
    void retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known);

private:
    const AvoidanceSettings m_settings;
    std::map<std::string, EndpointRecord> m_records; ///< By id.
};

}
