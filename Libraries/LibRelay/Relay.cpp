/// @file Implementation of the relay.

#include "LibRelay/Relay.h"

#include "LibRelay/RelayedRequest.h"

#include <algorithm>

namespace Relay {

namespace {

std::array<Telemetry::Counter *, RetryObstacleCount> brokenAnswerCounters(Telemetry::Metrics &metrics)
{
    std::array<Telemetry::Counter *, RetryObstacleCount> counters{};
    for (std::size_t index = 0; index < counters.size(); ++index) {
        const std::string obstacle(retryObstacleName(static_cast<RetryObstacle>(index)));
        counters.at(index) = &metrics.counter("relay_broken_answers_total{not_retried=\"" + obstacle + "\"}");
    }
    return counters;
}

}

RelayCounters::RelayCounters(Telemetry::Metrics &metrics)
    : m_requests(metrics.counter("relay_requests_total"))
    , m_succeeded(metrics.counter("relay_requests_ended_total{outcome=\"answered\"}"))
    , m_refused(metrics.counter("relay_requests_ended_total{outcome=\"refused\"}"))
    , m_refusedForMemory(metrics.counter("relay_without_memory_total"))
    , m_failed(metrics.counter("relay_requests_ended_total{outcome=\"failed\"}"))
    , m_abandoned(metrics.counter("relay_requests_ended_total{outcome=\"caller_left\"}"))
    , m_retries(metrics.counter("relay_repeats_total"))
    , m_retryGrants{&metrics.counter("relay_retries_refused_total"),
                    &metrics.counter("relay_retries_granted_total{grant=\"token\"}"),
                    &metrics.counter("relay_retries_granted_total{grant=\"slack\"}"),
                    &metrics.counter("relay_retries_granted_total{grant=\"lot\"}")}
    , m_resumed(metrics.counter("relay_streams_resumed_total"))
    , m_limitReached(metrics.counter("relay_limit_reached_total"))
    , m_backedOff(metrics.counter("relay_backed_off_total"))
    , m_withoutPlace(metrics.counter("relay_without_allowed_place_total"))
    , m_yielding(metrics.counter("relay_yielding_total"))
    , m_quarantined(metrics.counter("relay_quarantined_total"))
    , m_held(metrics.counter("relay_held_total"))
    , m_brokenAnswers(brokenAnswerCounters(metrics))
    , m_unsentAnswers(metrics.counter("relay_unsent_answers_total"))
    , m_lostEndpoints(metrics.counter("relay_lost_endpoints_total"))
    , m_refusedLeaving(metrics.counter("relay_refused_leaving_total"))
    , m_openAtEnd(metrics.counter("relay_open_at_end_total"))
    , m_answers{&metrics.counter("relay_answers_total{body_end=\"no_body\"}"),
                &metrics.counter("relay_answers_total{body_end=\"length\"}"),
                &metrics.counter("relay_answers_total{body_end=\"last_chunk\"}"),
                &metrics.counter("relay_answers_total{body_end=\"close\"}")}
    , m_firstByte(metrics.latency("relay_first_byte_seconds"))
    , m_completeAnswer(metrics.latency("relay_whole_answer_seconds"))
{
}

Relay::Relay(RelayParts parts, RelaySettings settings, Dialect dialect)
    : m_parts(parts)
    , m_settings(std::move(settings))
    , m_dialect(std::move(dialect))
    , m_waitingRequests(
          parts.m_loop, [this](const std::string &service, const Placement::AllowedPlaces &places) { return forecast(service, places); }, m_settings.m_queue)
    , m_counters(parts.m_metrics)
{
}

Relay::~Relay()
{
    *m_isAlive = false;
}

void Relay::onConfigurationChanged()
{
    const std::vector<std::weak_ptr<RelayedRequest>> awaiting = std::move(m_awaitingConfiguration);
    m_awaitingConfiguration.clear();
    for (const std::weak_ptr<RelayedRequest> &waiting : awaiting) {
        const std::shared_ptr<RelayedRequest> request = waiting.lock();
        if (request) {
            request->onConfigurationKnown();
        }
    }
}

void Relay::onQuarantineChanged(std::function<void()> callback)
{
    m_onQuarantineChanged = std::move(callback);
}

void Relay::onSlotsChanged()
{
    m_waitingRequests.onSlotsChanged();
}

void Relay::logAccount(bool isFinal)
{
    m_account.writeIfDue(m_parts.m_log, Core::Clock::now(), isFinal);
}

void Relay::startLeaving(Core::Instant endsAt)
{
    m_endsAt = endsAt;
    m_awaitingConfiguration.clear();
    const std::set<std::shared_ptr<RelayedRequest>> open = m_openRequests; // Requests that end remove themselves.
    for (const std::shared_ptr<RelayedRequest> &request : open) {
        request->onLeaving();
    }
    m_waitingRequests.dispatch();
}

void Relay::onLateRequest(const Http::ServerRequest &request)
{
    m_counters.m_requests.add();
    m_counters.m_refused.add();
    m_counters.m_refusedLeaving.add();
    m_parts.m_elapsedTimeEstimator.recordRefusal(Core::Clock::now());
    Telemetry::LogLine line("request_after_last");
    m_parts.m_log.write(line.text("id", m_dialect.m_readRequest(request.m_fields).m_attemptId).text("peer", request.m_peer).text("outcome", "refused"));
}

void Relay::endOpenRequests()
{
    const std::set<std::shared_ptr<RelayedRequest>> open = m_openRequests;
    for (const std::shared_ptr<RelayedRequest> &request : open) {
        request->endWithProcess();
    }
}

bool Relay::isUsable(const Fleet::Endpoint &endpoint, const std::string &service, const Placement::AllowedPlaces &places) const
{
    const bool isEvacuated = m_parts.m_fleetState.evacuatedDomains().contains(endpoint.m_failureDomain);
    return endpoint.m_service == service && !endpoint.m_isLeaving && !isEvacuated && places.allows(endpoint.m_failureDomain);
}

std::size_t Relay::listedEngines(const std::string &service, const Placement::AllowedPlaces &places) const
{
    const std::map<std::string, Fleet::KnownEndpoint> &endpoints = m_parts.m_fleetState.endpoints();
    return static_cast<std::size_t>(
        std::count_if(endpoints.begin(), endpoints.end(), [this, &service, &places](const std::pair<const std::string, Fleet::KnownEndpoint> &entry) {
            return isUsable(entry.second.m_endpoint, service, places);
        }));
}

std::optional<Core::Instant> Relay::earliestBackoffEnd(const std::string &service, const Placement::AllowedPlaces &places, Core::Instant now) const
{
    std::optional<Core::Instant> earliest;
    for (const std::pair<const std::string, Fleet::KnownEndpoint> &entry : m_parts.m_fleetState.endpoints()) {
        const Fleet::Endpoint &endpoint = entry.second.m_endpoint;
        const Core::Instant end = Placement::earliestSend(m_parts.m_endpointTracker.get(endpoint).m_backoff);
        if (isUsable(endpoint, service, places) && end > now) {
            earliest = std::min(end, earliest.value_or(end));
        }
    }
    return earliest;
}

Placement::QueueForecast Relay::forecast(const std::string &service, const Placement::AllowedPlaces &places) const
{
    Placement::QueueForecast forecast;
    const std::shared_ptr<const Fleet::ConfigurationIndex> configuration = m_parts.m_fleetState.configuration();
    const Fleet::Service *known = configuration ? configuration->service(service) : nullptr;
    if (!known || known->m_engine.m_slots == 0) {
        return forecast;
    }
    const Core::Instant now = Core::Clock::now();
    const Placement::SlotTracker &slotTracker = m_parts.m_slotTracker;
    forecast.m_finishedPerSecond = slotTracker.finishedPerSecond(now, places);
    forecast.m_freeSlots = std::max(0.0, slotTracker.totalFreeSlots(now, places).value_or(0));
    const std::size_t listed = listedEngines(service, places);
    const std::size_t active = std::min(listed, slotTracker.enginesWithSlots(now, places));
    // A few engines that are changing versions or have failed do not count as an outage.
    const std::size_t expectedEngines = listed - active > active ? listed - active : 0;
    const double ownExpectedEngines = slotTracker.share() * static_cast<double>(expectedEngines);
    forecast.m_expectedSlots = ownExpectedEngines * known->m_engine.m_slots;
    forecast.m_expectedFinishedPerSecond = ownExpectedEngines * Placement::finishedPerSecond(known->m_engine);
    const std::optional<Core::Instant> backoffEnd = active == 0 ? earliestBackoffEnd(service, places, now) : std::nullopt;
    if (backoffEnd) {
        forecast.m_untilBackoffEnd = std::chrono::ceil<Core::Duration>(*backoffEnd - now);
    }
    return forecast;
}

void Relay::handle(const std::shared_ptr<Http::ServerConnection> &connection, Http::ServerRequest request)
{
    m_counters.m_requests.add();
    const std::shared_ptr<RelayedRequest> relayed = std::make_shared<RelayedRequest>(*this, connection, std::move(request));
    m_openRequests.insert(relayed);
    relayed->start();
}

}
