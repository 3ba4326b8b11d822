/// @file The part of a relayed request's implementation that waits for the first configuration or for a slot at an engine.

#include "LibRelay/RelayedRequest.h"
#include "LibRelay/RequestTimeouts.h"

#include <algorithm>

namespace Relay {

void RelayedRequest::awaitConfiguration()
{
    constexpr int timeoutDivisor = 3; // At most this fraction of the caller's time; the rest is left for a retry at another process and for the answer.
    if (m_relay.m_endsAt) {
        onLeaving();
        return;
    }
    if (m_relay.m_awaitingConfiguration.size() >= m_relay.m_settings.m_queue.m_maximumRequests) {
        refuse("no configuration is known yet", m_relay.m_settings.m_retryAfter);
        return;
    }
    Core::Duration wait = m_relay.m_settings.m_configurationWait;
    if (m_facts.m_timeout) {
        wait = std::min(wait, *m_facts.m_timeout / timeoutDivisor);
    }
    std::erase_if(m_relay.m_awaitingConfiguration, [](const std::weak_ptr<RelayedRequest> &other) { return other.expired(); });
    m_relay.m_awaitingConfiguration.push_back(weak_from_this());
    m_timer.expires_after(wait);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<RelayedRequest> self = weak.lock();
        if (!error && self && !self->m_isFinished && !self->m_configuration) {
            self->refuse("no configuration is known yet", self->m_relay.m_settings.m_retryAfter);
        }
    });
}

bool RelayedRequest::joinQueue()
{
    if (!enqueue()) {
        return false;
    }
    m_relay.m_waitingRequests.dispatch();
    return true;
}

Placement::QueuedRequest RelayedRequest::sendDeadlines() const
{
    const Fleet::EngineModel &engine = m_service->m_engine;
    const Placement::RequestSize size{m_facts.m_promptTokens, m_facts.m_answerTokens};
    const Core::Duration first(static_cast<std::int64_t>(Placement::firstEventMilliseconds(engine, Placement::EndpointLoad{engine.m_slots - 1}, size)));
    const Core::Duration complete = first + Core::Duration(static_cast<std::int64_t>(Placement::answerMilliseconds(engine, size)));
    Placement::QueuedRequest deadlines;
    deadlines.m_objectiveSendDeadline = m_arrivedAt - m_elapsedBeforeArrival + Core::Duration(m_route->m_goalMilliseconds) - first;
    deadlines.m_sendDeadline = m_deadline - m_relay.m_settings.m_answerMargin - complete;
    deadlines.m_places = m_places;
    deadlines.m_yielded = m_yielded;
    deadlines.m_borrowedSlots = m_mayBorrow ? m_relay.m_settings.m_admission.m_borrowedSlots : 0;
    if (m_yielded.count() > 0) {
        deadlines.m_overtakenPerSecond = m_relay.m_waitingRequests.moreUrgentArrivalsPerSecond(m_service->m_name, m_rank, Core::Clock::now());
    }
    if (m_route->m_gapGoalMilliseconds > 0) {
        const Core::Duration patience = streamPatience(Core::Duration(m_route->m_goalMilliseconds), Core::Duration(m_route->m_gapGoalMilliseconds));
        deadlines.m_sendDeadline = std::min(deadlines.m_sendDeadline, m_arrivedAt + patience - first);
    }
    if (m_lastEventAt) {
        // The caller is already reading and leaves a stream that pauses for too long.
        deadlines.m_objectiveSendDeadline = *m_lastEventAt + Core::Duration(m_route->m_gapGoalMilliseconds) - first;
        deadlines.m_sendDeadline = *m_lastEventAt + scaled(m_route->m_gapGoalMilliseconds, PauseTimeoutInGaps) - first;
    }
    if (!m_lastFailure.empty() && callerWait().m_isStream) {
        deadlines.m_sendDeadline = std::min(deadlines.m_sendDeadline, Core::Clock::now() + untilCallerLeaves(callerWait()) - MinimumAttemptTime);
    }
    const std::optional<LeavingView> leaving = leavingView();
    if (leaving && leaving->m_untilDeadline > leaving->m_untilProcessEnds) {
        deadlines.m_sendDeadline = std::min(deadlines.m_sendDeadline, Core::Clock::now() + leaving->m_untilProcessEnds - neededTime(*leaving));
        deadlines.m_objectiveSendDeadline = std::min(deadlines.m_objectiveSendDeadline, deadlines.m_sendDeadline);
    }
    return deadlines;
}

void RelayedRequest::recordWeightAvailability(Placement::NoChoiceReason reason)
{
    if (m_service->m_engine.m_slots > 0) {
        m_relay.m_waitingRequests.recordWeightAvailability(m_service->m_name, m_places, Placement::hasOnlyBusyEndpoints(reason), Core::Clock::now());
    }
}

bool RelayedRequest::enqueue()
{
    if (m_service->m_engine.m_slots == 0) {
        return false;
    }
    // The endpoints at which it failed may have recovered when it is sent. Until then the endpoint tracker avoids them.
    m_excluded.clear();
    m_ticket = m_relay.m_waitingRequests.enqueue(m_service->m_name, sendDeadlines(), m_request.m_body.size(), weak_from_this());
    m_waitingSince = Core::Clock::now();
    return isWaiting();
}

void RelayedRequest::stopWaiting()
{
    if (!isWaiting()) {
        return;
    }
    m_totalWait += std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_waitingSince);
    m_relay.m_waitingRequests.remove(*m_ticket);
    m_ticket.reset();
}

bool RelayedRequest::lacksSlots() const
{
    const std::optional<double> needed = neededSlots();
    const Core::Instant now = Core::Clock::now();
    const Placement::SlotTracker &slotTracker = m_relay.m_parts.m_slotTracker;
    return needed && slotTracker.enginesWithSlots(now, m_places) > 0 && slotTracker.totalFreeSlots(now, m_places).value_or(0) < *needed;
}

QueueSendResult RelayedRequest::trySendFromQueue()
{
    if (!canEndInTime()) {
        stopWaiting();
        endForLeaving();
        return QueueSendResult::Dequeued;
    }
    if (lacksSlots()) {
        return QueueSendResult::NoSlot;
    }
    if (treatment().m_kind != Quarantine::TreatmentKind::Send) {
        stopWaiting();
        passesQuarantine();
        return QueueSendResult::Dequeued;
    }
    const Placement::ChoiceResult result = chooseEndpoint();
    if (result.m_choice) {
        stopWaiting();
        admitAndSend(*result.m_choice);
        return QueueSendResult::Dequeued;
    }
    if (result.m_reason == Placement::NoChoiceReason::NoAllowedPlace) {
        m_relay.m_counters.m_withoutPlace.add();
        stopWaiting();
        endWithoutEndpoint(result.m_reason);
        return QueueSendResult::Dequeued;
    }
    recordWeightAvailability(result.m_reason);
    return Placement::hasOnlyBusyEndpoints(result.m_reason) ? QueueSendResult::NoSlot : QueueSendResult::NoEndpoint;
}

void RelayedRequest::rejectFromQueue(const Placement::QueueForecast &forecast, std::size_t ahead)
{
    logNoSlotExpected(forecast, ahead);
    stopWaiting();
    if (forecast.m_untilBackoffEnd.count() > 0) {
        endWithoutEndpoint(Placement::NoChoiceReason::BackedOff);
        return;
    }
    const bool hasWeights = forecast.m_untilWeights.count() == 0;
    endWithoutEndpoint(hasWeights ? Placement::NoChoiceReason::Overloaded : Placement::NoChoiceReason::NoWeights);
}

Core::Duration RelayedRequest::retryAfter(Placement::NoChoiceReason reason) const
{
    // An evacuation ends when the operators want it; the caller's one return is best late.
    const bool isAbsent = reason == Placement::NoChoiceReason::NoWeights || reason == Placement::NoChoiceReason::NoAllowedPlace;
    if (isAbsent || m_hasMetRestartedEngine) {
        return Placement::retryAfterWithoutWeights(timeLeft(), m_relay.m_parts.m_random);
    }
    if (reason == Placement::NoChoiceReason::BackedOff) {
        return retryAfterBackoff();
    }
    if (reason != Placement::NoChoiceReason::Overloaded) {
        return m_relay.m_settings.m_retryAfter;
    }
    const Placement::QueueForecast forecast = m_relay.m_waitingRequests.forecast(m_service->m_name, m_places, Core::Clock::now());
    const Core::Duration minimum = Placement::retryAfter(forecast, m_relay.m_waitingRequests.size(), m_relay.m_settings.m_admission);
    // Adds a random delay of up to the same length to spread the retries of callers that were refused together.
    return minimum + Core::Duration(m_relay.m_parts.m_random.below(static_cast<std::uint64_t>(minimum.count())));
}

Core::Duration RelayedRequest::retryAfterBackoff() const
{
    const Core::Instant now = Core::Clock::now();
    const std::optional<Core::Instant> end = m_relay.earliestBackoffEnd(m_service->m_name, m_places, now);
    const Core::Duration untilEnd = end ? std::chrono::duration_cast<Core::Duration>(*end - now) : Core::Duration(0);
    // Spreads the retries of callers that were refused together.
    const std::uint64_t spread = static_cast<std::uint64_t>(m_relay.m_settings.m_retryAfter.count());
    return untilEnd + Core::Duration(static_cast<std::int64_t>(m_relay.m_parts.m_random.below(spread)));
}

void RelayedRequest::logNoSlotExpected(const Placement::QueueForecast &forecast, std::size_t ahead)
{
    const Core::Instant now = Core::Clock::now();
    const Placement::QueuedRequest deadlines = sendDeadlines();
    Telemetry::LogLine line("no_place_expected");
    line.text("id", m_facts.m_attemptId).text("service", m_service->m_name).number("ahead", static_cast<std::int64_t>(ahead));
    line.number("in_time_within_ms", Core::secondsBetween(now, deadlines.m_objectiveSendDeadline) * MillisecondsPerSecond);
    line.number("sent_within_ms", Core::secondsBetween(now, deadlines.m_sendDeadline) * MillisecondsPerSecond);
    line.number("weights_in_ms", static_cast<std::int64_t>(forecast.m_untilWeights.count())).number("free_places", forecast.m_freeSlots);
    line.number("places_per_s", forecast.m_finishedPerSecond).number("fresh_per_s", forecast.m_timelyArrivalsPerSecond);
    line.number("overtaken_per_s", deadlines.m_overtakenPerSecond);
    line.number("coming_places", forecast.m_expectedSlots).number("backed_off_ms", static_cast<std::int64_t>(forecast.m_untilBackoffEnd.count()));
    m_relay.m_parts.m_log.write(line);
}

}
