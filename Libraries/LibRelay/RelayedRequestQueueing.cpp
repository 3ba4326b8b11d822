/// @file The part of a request's way through the relay in which it waits: for the first configuration, or for a place at an engine.

#include "LibRelay/RelayedRequest.h"
#include "LibRelay/RequestPatience.h"

#include <algorithm>

namespace Relay {

void RelayedRequest::awaitConfiguration()
{
    constexpr int patienceParts = 3; // Of the caller's time; the rest is left for another process and the answer.
    if (m_relay.m_unconfigured.size() >= m_relay.m_settings.m_queue.m_mostRequests) {
        refuse("no configuration is known yet", m_relay.m_settings.m_retryAfter);
        return;
    }
    Core::Duration wait = m_relay.m_settings.m_configurationWait;
    if (m_facts.m_timeout) {
        wait = std::min(wait, *m_facts.m_timeout / patienceParts);
    }
    std::erase_if(m_relay.m_unconfigured, [](const std::weak_ptr<RelayedRequest> &other) { return other.expired(); });
    m_relay.m_unconfigured.push_back(weak_from_this());
    m_timer.expires_after(wait);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<RelayedRequest> self = weak.lock();
        if (!error && self && !self->m_isOver && !self->m_configuration) {
            self->refuse("no configuration is known yet", self->m_relay.m_settings.m_retryAfter);
        }
    });
}

bool RelayedRequest::joinQueue()
{
    if (!wait()) {
        return false;
    }
    m_relay.m_waiting.serve();
    return true;
}

Placement::QueuedRequest RelayedRequest::queueBounds() const
{
    const Fleet::EngineModel &engine = m_service->m_engine;
    const Placement::RequestSize size{m_facts.m_promptTokens, m_facts.m_answerTokens};
    const Core::Duration first(static_cast<std::int64_t>(Placement::firstEventMilliseconds(engine, Placement::EndpointLoad{engine.m_slots - 1}, size)));
    const Core::Duration whole = first + Core::Duration(static_cast<std::int64_t>(Placement::answerMilliseconds(engine, size)));
    Placement::QueuedRequest bounds;
    bounds.m_latestInTime = m_arrivedAt - m_lost + Core::Duration(m_route->m_goalMilliseconds) - first;
    bounds.m_latest = m_deadline - m_relay.m_settings.m_answerMargin - whole;
    if (m_route->m_gapGoalMilliseconds > 0) {
        const Core::Duration silence = std::max(scaled(m_route->m_gapGoalMilliseconds, SilenceInGaps), scaled(m_route->m_goalMilliseconds, PatienceInGoals));
        bounds.m_latest = std::min(bounds.m_latest, m_arrivedAt + silence - first);
    }
    if (m_lastEventAt) {
        // Its caller is reading already, and leaves a stream that has paused for long.
        bounds.m_latestInTime = *m_lastEventAt + Core::Duration(m_route->m_gapGoalMilliseconds) - first;
        bounds.m_latest = *m_lastEventAt + scaled(m_route->m_gapGoalMilliseconds, PatienceInGaps) - first;
    }
    return bounds;
}

void RelayedRequest::noteRefusal(Placement::NoChoice reason)
{
    if (m_service->m_engine.m_slots > 0) {
        m_relay.m_waiting.noteWeights(m_service->m_name, reason == Placement::NoChoice::Overloaded, Core::Clock::now());
    }
}

bool RelayedRequest::wait()
{
    if (m_service->m_engine.m_slots == 0) {
        return false;
    }
    // What failed it so far may have recovered by the time that it is sent; until then it is avoided.
    m_excluded.clear();
    m_ticket = m_relay.m_waiting.join(m_service->m_name, queueBounds(), m_request.m_body.size(), weak_from_this());
    m_waitingSince = Core::Clock::now();
    return isWaiting();
}

void RelayedRequest::stopWaiting()
{
    if (!isWaiting()) {
        return;
    }
    m_waited += std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_waitingSince);
    m_relay.m_waiting.leave(*m_ticket);
    m_ticket.reset();
}

bool RelayedRequest::isWithoutPlace() const
{
    const std::optional<double> needed = neededPlaces();
    const Core::Instant now = Core::Clock::now();
    const Placement::SlotTracker &ledger = m_relay.m_parts.m_ledger;
    return needed && ledger.enginesWithPlaces(now) > 0 && ledger.total(now).value_or(0) < *needed;
}

QueueStep RelayedRequest::tryFromQueue()
{
    if (isWithoutPlace()) {
        return QueueStep::NoPlace;
    }
    const Placement::ChoiceResult result = choose();
    if (result.m_choice) {
        stopWaiting();
        chosen(*result.m_choice);
        return QueueStep::Left;
    }
    noteRefusal(result.m_reason);
    return result.m_reason == Placement::NoChoice::Overloaded ? QueueStep::NoPlace : QueueStep::NoEndpoint;
}

void RelayedRequest::giveUpWaiting(const Placement::QueueForecast &forecast, std::size_t ahead)
{
    logQueue(forecast, ahead);
    stopWaiting();
    const bool hasWeights = forecast.m_untilWeights.count() == 0;
    giveUp(hasWeights ? Placement::NoChoice::Overloaded : Placement::NoChoice::NoWeights);
}

Core::Duration RelayedRequest::returnTime(Placement::NoChoice reason) const
{
    if (reason == Placement::NoChoice::NoWeights || m_metRestarted) {
        return Placement::returnTimeWithoutWeights(timeLeft(), m_relay.m_parts.m_random);
    }
    if (reason != Placement::NoChoice::Overloaded) {
        return m_relay.m_settings.m_retryAfter;
    }
    const Placement::QueueForecast forecast = m_relay.m_waiting.forecast(m_service->m_name, Core::Clock::now());
    const Core::Duration least = Placement::returnTime(forecast, m_relay.m_waiting.size(), m_relay.m_settings.m_admission);
    // Spread over as long again, so that those who were refused together do not come back together.
    return least + Core::Duration(m_relay.m_parts.m_random.below(static_cast<std::uint64_t>(least.count())));
}

void RelayedRequest::logQueue(const Placement::QueueForecast &forecast, std::size_t ahead)
{
    const Core::Instant now = Core::Clock::now();
    const Placement::QueuedRequest bounds = queueBounds();
    Telemetry::LogLine line("no_place_expected");
    line.text("id", m_facts.m_attemptId).text("service", m_service->m_name).number("ahead", static_cast<std::int64_t>(ahead));
    line.number("in_time_within_ms", Core::secondsBetween(now, bounds.m_latestInTime) * MillisecondsPerSecond);
    line.number("sent_within_ms", Core::secondsBetween(now, bounds.m_latest) * MillisecondsPerSecond);
    line.number("weights_in_ms", static_cast<std::int64_t>(forecast.m_untilWeights.count())).number("free_places", forecast.m_freePlaces);
    line.number("places_per_s", forecast.m_placesPerSecond).number("fresh_per_s", forecast.m_freshPerSecond);
    line.number("coming_places", forecast.m_comingPlaces);
    m_relay.m_parts.m_log.write(line);
}

}
