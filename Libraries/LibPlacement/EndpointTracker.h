/// @file Tracks the load and the failures of each endpoint, from reports and from this process's own requests.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/FleetState.h"
#include "LibPlacement/Backoff.h"
#include "LibPlacement/EngineForecast.h"

#include <map>
#include <optional>
#include <string>

namespace Placement {

/// An agent's report on its engine.
struct EngineReport
{
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    double m_pace = 1; ///< Factor by which the engine is slower than its model states; 1 is as stated.
    bool m_isLoading = false; ///< The engine is loading other weights and accepts no new requests until it has them.
    std::vector<Fleet::LoadedWeights> m_weights;

    bool operator==(const EngineReport &) const = default;

    MSGPACK_DEFINE_ARRAY(m_running, m_waiting, m_pace, m_isLoading, m_weights);
};

/// Why a request got no valid answer from an endpoint.
enum class EndpointFailure {
    Unreachable, ///< No connection could be made.
    ConnectionLost, ///< The connection was lost or went silent after the request was sent.
    Refused, ///< The endpoint was full and stated that it did not run the request.
    WrongInstance, ///< Another endpoint uses the address now.
    BadAnswer, ///< The answer was invalid, or was an error that may have occurred after the request began to run.
};

/// Load and failures of one incarnation of an endpoint.
struct EndpointRecord
{
    std::uint64_t m_startedMilliseconds = 0; ///< Incarnation that the record refers to, as the Unix time of its start.
    EndpointLoad m_load;
    std::optional<Core::Instant> m_reportedAt; ///< When the load was last reported.
    std::optional<EngineReport> m_engineReport; ///< Last report of the agent beside the engine.
    Core::Instant m_engineReportedAt;
    Core::Instant m_avoidUntil; ///< Until this time requests go to other endpoints, if there are any.
    Backoff m_backoff; ///< What the endpoint has asked for.
    std::uint32_t m_consecutiveFailures = 0;
    double m_averageMilliseconds = 0; ///< Moving average of a plain service's answer times; 0 until one was measured.
};

/// For how long an endpoint is avoided after failures.
struct AvoidanceSettings
{
    Core::Duration m_initial{400}; ///< After one failure: longer than a burst of failures with one cause, much shorter than a heartbeat interval.
    Core::Duration m_maximum{3000}; ///< The time doubles with each consecutive failure up to this, about the time in which a dead endpoint leaves the list.
    Core::Duration m_afterRefusal{60}; ///< After a refusal. A full engine finishes a request about every 100 ms.

    bool operator==(const AvoidanceSettings &) const = default;
};

/// Keeps a record for each endpoint. Used by one thread.
class EndpointTracker
{
public:
    explicit EndpointTracker(AvoidanceSettings settings = {}, BackoffSettings backoffSettings = {});

    /// Returns the record of the endpoint's incarnation. Creates it if there is none, and replaces one of another incarnation.
    EndpointRecord &getOrCreate(const Fleet::Endpoint &endpoint);
    /// Returns the record of the endpoint's incarnation; a default one if there is none.
    const EndpointRecord &get(const Fleet::Endpoint &endpoint) const;

    /// Records that this process has sent a request to the endpoint.
    void recordSent(const Fleet::Endpoint &endpoint, Core::Instant now);
    /// Records that a request of this process has ended, with or without an answer.
    void recordEnded(const Fleet::Endpoint &endpoint);
    /// Records the load that an endpoint without an agent has reported.
    void recordLoad(const Fleet::Endpoint &endpoint, std::uint32_t running, std::uint32_t waiting, Core::Instant now);
    /// Records an agent's report.
    void recordEngineReport(const Fleet::Endpoint &endpoint, const EngineReport &report, Core::Instant now);
    /// Records the time from sending a request to the end of its answer.
    void recordAnswerTime(const Fleet::Endpoint &endpoint, double milliseconds);
    /// Records an answer that is known to be complete.
    void recordSuccess(const Fleet::Endpoint &endpoint);
    /// Records a failed request, after which the endpoint is avoided for a time.
    void recordFailure(const Fleet::Endpoint &endpoint, EndpointFailure failure, Core::Instant now);
    /// Records that the endpoint has asked this process to send it nothing for a time. @p spread: added to it. Returns the backoff from now on.
    Backoff recordBackoff(const Fleet::Endpoint &endpoint, Core::Duration asked, Core::Duration spread, Core::Instant now);
    /// Returns the number of endpoints that want no requests of this process now.
    std::size_t backedOffCount(Core::Instant now) const;
    const BackoffSettings &backoffSettings() const
    {
        return m_backoffSettings;
    }
    /// Removes the records of endpoints that are not in @p known. Keeps those with a backoff, since the entry of a live endpoint can be missing for a time.
    void retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known, Core::Instant now);

private:
    const AvoidanceSettings m_settings;
    const BackoffSettings m_backoffSettings;
    std::map<std::string, EndpointRecord> m_records; ///< By id.
};

}
