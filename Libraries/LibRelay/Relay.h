/// @file Relays the requests of callers to endpoints of the service that their route names.
#pragma once

#include "LibCore/Random.h"
#include "LibFleet/FleetState.h"
#include "LibHttp/ServerConnection.h"
#include "LibPlacement/Admission.h"
#include "LibPlacement/ColdBudget.h"
#include "LibPlacement/EndpointTracker.h"
#include "LibPlacement/PromptSeparation.h"
#include "LibPlacement/RequestLimits.h"
#include "LibPlacement/RetryBudgets.h"
#include "LibPlacement/VersionDeadlines.h"
#include "LibQuarantine/PartQuarantine.h"
#include "LibRelay/AnswerTimes.h"
#include "LibRelay/Dialect.h"
#include "LibRelay/RequestAccount.h"
#include "LibRelay/RetryObstacle.h"
#include "LibRelay/WaitingRequests.h"
#include "LibTelemetry/EventLog.h"
#include "LibTelemetry/Metrics.h"

#include <array>
#include <memory>
#include <set>

namespace Relay {

class RelayedRequest;

struct RelaySettings
{
    std::string m_failureDomain; ///< Failure domain of this instance.
    Placement::RegionsByDomain m_regions; ///< Of all failure domains; homes of routes and accounts name regions.
    Core::Duration m_connectTimeout{350}; ///< To an endpoint. TCP retransmits a lost first packet only after a second.
    Core::Duration m_answerMargin{15}; ///< Part of a request's time that is reserved for returning the answer.
    Core::Duration m_minimumTimeLeft{20}; ///< A request with less time left is not sent.
    Core::Duration m_retryAfter{300}; ///< Default Retry-After of refusals: a few times the interval at which a full engine accepts requests.
    Placement::AdmissionSettings m_admission;
    Placement::QueueSettings m_queue;
    Placement::PromptSeparationSettings m_promptSeparation;
    /// Longest time that a request waits for the first configuration of a process that has just started.
    Core::Duration m_configurationWait{1000};
    std::size_t m_maximumHeldRequests = 256; ///< Requests that wait until it is known whether endpoints end under them or a part of their prompts.
    Core::Duration m_holdCheckInterval{100}; ///< Between checks whether such a request may be sent; short compared to a latency objective.
    /// Retry-After of a request that is refused because endpoints end under it or a part of its prompt. Longer than callers wait: a retry would be refused,
    /// too.
    Core::Duration m_quarantineRetryAfter{60000};
    std::uint32_t m_maximumLostEndpoints = 2; ///< A request under which this many endpoints have ended is not sent again, unless its parts are acquitted.
    std::size_t m_successSampleInterval = 20; ///< One in this many successful requests is logged.

    bool operator==(const RelaySettings &) const = default;
};

/// Objects that the relay uses. They must outlive it.
struct RelayParts
{
    Http::EventLoop &m_loop;
    Fleet::FleetState &m_fleetState;
    Placement::EndpointTracker &m_endpointTracker;
    Placement::RetryBudgets &m_retryBudgets;
    Placement::VersionDeadlines &m_versionDeadlines;
    Placement::ElapsedTimeEstimator &m_elapsedTimeEstimator;
    Placement::SlotTracker &m_slotTracker;
    Placement::RequestLimits &m_requestLimits;
    Placement::ColdBudget &m_coldBudget;
    Quarantine::PartQuarantine &m_quarantine;
    Telemetry::Metrics &m_metrics;
    Telemetry::EventLog &m_log;
    Core::Random &m_random;
};

/// Metrics of the relay, looked up once.
struct RelayCounters
{
    explicit RelayCounters(Telemetry::Metrics &metrics);

    Telemetry::Counter &m_requests;
    Telemetry::Counter &m_succeeded;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_refusedForMemory;
    Telemetry::Counter &m_failed;
    Telemetry::Counter &m_abandoned;
    Telemetry::Counter &m_retries;
    std::array<Telemetry::Counter *, 4> m_retryGrants; ///< Decisions on retries, by their Placement::RetryGrant.
    Telemetry::Counter &m_resumed;
    Telemetry::Counter &m_limitReached;
    Telemetry::Counter &m_backedOff;
    Telemetry::Counter &m_withoutPlace;
    Telemetry::Counter &m_yielding;
    Telemetry::Counter &m_quarantined;
    Telemetry::Counter &m_held;
    std::array<Telemetry::Counter *, RetryObstacleCount> m_brokenAnswers; ///< Answers that broke off after their heads, by what kept them from being continued.
    Telemetry::Counter &m_unsentAnswers; ///< Complete answers whose callers' connections ended before all of their bytes were written.
    Telemetry::Counter &m_lostEndpoints; ///< Requests that were at an endpoint when it ended.
    Telemetry::Counter &m_refusedLeaving; ///< Requests that would not have ended before this process, and were refused or not sent again.
    Telemetry::Counter &m_openAtEnd; ///< Requests that had no complete answer when the process ended.
    std::array<Telemetry::Counter *, 4> m_answers; ///< Answers of endpoints, by their Http::BodyEnd.
    Telemetry::Latency &m_firstByte;
    Telemetry::Latency &m_completeAnswer;
};

/// Returns how long a request may wait for memory, so that its time limit leaves enough for reading and running it.
Core::Duration usefulMemoryWait(Core::Duration timeout, Core::Duration goal);

/// Relays requests. Used on the loop's thread.
class Relay
{
public:
    Relay(RelayParts parts, RelaySettings settings, Dialect dialect);
    ~Relay();

    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    /// Relays a request and answers it on its connection.
    void handle(const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request);
    /// Returns how long it can help a caller to wait for memory before its request is read. Zero for requests that would not be relayed, and while leaving.
    Core::Duration maximumMemoryWait(const Http::ServerRequest &head) const;
    /// Records and logs that a request was refused for want of memory. Returns the time after which its caller should retry.
    Core::Duration onMemoryRefused(const Http::ServerRequest &head, const Http::MemoryShortage &shortage);
    /// Records and logs that a request was refused because an answer before it had announced the end of their connection.
    void onLateRequest(const Http::ServerRequest &request);
    /// Must be called when the configuration has changed.
    void onConfigurationChanged();
    /// Must be called when engines have reported, because slots may have become free.
    void onSlotsChanged();
    /// Sets the callback that is called after something was recorded under which part of a prompt endpoints end.
    void onQuarantineChanged(std::function<void()> callback);
    /// Logs the counts of ended requests if they are due, or in any case if the process is about to end.
    void logAccount(bool isFinal = false);
    /// Must be called when the process begins to leave. From then on requests begin only if they will end by @p endsAt; waiting ones are checked at once.
    void startLeaving(Core::Instant endsAt);
    /// Ends the requests that have no complete answer, with an answer wherever none has begun, and logs and counts them.
    void endOpenRequests();
    /// Returns the number of requests handled since the start.
    std::uint64_t requests() const
    {
        return m_counters.m_requests.value();
    }
    /// Returns the number of requests that wait for a slot at an engine.
    std::size_t waitingRequests() const
    {
        return m_waitingRequests.size();
    }
    /// Returns the number of requests that have no complete answer yet.
    std::size_t openRequests() const
    {
        return m_openRequests.size();
    }

private:
    friend class RelayedRequest;

    /// Returns whether the endpoint may serve requests for the service that are restricted to the places.
    bool isUsable(const Fleet::Endpoint &endpoint, const std::string &service, const Placement::AllowedPlaces &places) const;
    /// Returns the number of engines of the service in the places that accept work according to the list of endpoints.
    std::size_t listedEngines(const std::string &service, const Placement::AllowedPlaces &places) const;
    /// Returns when the first of the service's endpoints in the places that have asked for a time without requests may get one; empty if none has.
    std::optional<Core::Instant> earliestBackoffEnd(const std::string &service, const Placement::AllowedPlaces &places, Core::Instant now) const;
    Placement::QueueForecast forecast(const std::string &service, const Placement::AllowedPlaces &places) const;

    const RelayParts m_parts;
    const RelaySettings m_settings;
    const Dialect m_dialect;
    WaitingRequests m_waitingRequests;
    std::vector<std::weak_ptr<RelayedRequest>> m_awaitingConfiguration; ///< Requests that wait for the first configuration.
    RelayCounters m_counters;
    RequestAccount m_account;
    std::map<std::string, Placement::PromptSizes> m_promptSizes; ///< By service.
    AnswerTimes m_answerTimes;
    std::optional<Core::Instant> m_endsAt; ///< When open requests are ended. Set while the process is leaving.
    std::size_t m_successes = 0;
    std::size_t m_heldRequests = 0;
    std::function<void()> m_onQuarantineChanged;
    std::set<std::shared_ptr<RelayedRequest>> m_openRequests;
    const std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< Set to false by the destructor, which connections may outlive.
};

}
