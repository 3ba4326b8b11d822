/// @file The part of a relayed request's implementation that decides what becomes of an attempt whose endpoint is silent.
///
/// An endpoint that is silent may only be slow. A stream that has begun is therefore not taken from it before another endpoint has begun to go on with the
/// stream: until then either of them may, and the one that does first is kept.

#include "LibRelay/RelayedRequest.h"

namespace Relay {

bool RelayedRequest::isAttemptOutdated() const
{
    const std::optional<std::uint64_t> required = m_relay.m_parts.m_versionDeadlines.requiredVersion(m_facts.m_model, Core::Clock::now());
    return !m_isHeadForwarded && m_attempt->m_version && required && *m_attempt->m_version < *required;
}

bool RelayedRequest::shouldLeaveEndpoint()
{
    if (isAttemptOutdated()) {
        return true;
    }
    if (m_attempts > 1 && !m_attempt->m_answerBeganAt && mustCancel(callerWait())) {
        return true;
    }
    const bool isBoundToEndpoint = m_isHeadForwarded && !m_isEventStream;
    if (m_silentAttempt || isBoundToEndpoint || !hasAttemptLeft(true) || !mayMove(callerWait()) || !canEndInTime() || !isRetryInBudget()) {
        return false;
    }
    const bool isAdded = m_excluded.insert(m_attempt->m_endpoint.m_id).second;
    const Placement::ChoiceResult result = chooseEndpoint();
    if (isAdded) {
        m_excluded.erase(m_attempt->m_endpoint.m_id);
    }
    if (m_isHeadForwarded) {
        // A stream that has begun does not give up its place at an endpoint for one in the queue, from which it may be rejected.
        if (result.m_choice && treatment().m_kind == Quarantine::TreatmentKind::Send && reserveRetry()) {
            replaceSilentAttempt(*result.m_choice);
        }
        return false;
    }
    const bool mayQueue = m_service->m_engine.m_slots > 0 && Placement::hasOnlyBusyEndpoints(result.m_reason);
    return result.m_choice.has_value() || mayQueue;
}

void RelayedRequest::replaceSilentAttempt(const Placement::Choice &choice)
{
    const Fleet::Endpoint &silent = m_attempt->m_endpoint;
    m_relay.m_parts.m_endpointTracker.recordFailure(silent, Placement::EndpointFailure::ConnectionLost, Core::Clock::now());
    m_excluded.insert(silent.m_id);
    m_lastFailure = "the endpoint is silent";
    Telemetry::LogLine line("attempt_silent");
    line.text("id", m_facts.m_attemptId).text("route", m_route->m_name).text("endpoint", silent.m_id).text("peer", silent.m_address.toString());
    line.number("silent_ms", static_cast<std::int64_t>(callerWait().m_silence.count())).text("replacement", choice.m_endpoint.m_id);
    m_relay.m_parts.m_log.write(line);
    m_attempt->m_bodyEnd = m_bodyEnd;
    m_attempt->m_hasForwardedEvents = m_hasAttemptForwardedEvents;
    m_silentAttempt = std::move(m_attempt);
    m_attempt.reset();
    m_relay.m_counters.m_resumed.add();
    admitAndSend(choice);
}

bool RelayedRequest::isSilentAttempt(std::uint32_t number) const
{
    return m_silentAttempt && m_silentAttempt->m_number == number;
}

void RelayedRequest::selectAttempt(std::uint32_t number)
{
    if (isSilentAttempt(number)) {
        endAttempt();
        returnToSilentAttempt();
    }
}

void RelayedRequest::returnToSilentAttempt()
{
    m_attempt = std::move(m_silentAttempt);
    m_silentAttempt.reset();
    m_bodyEnd = m_attempt->m_bodyEnd;
    m_hasAttemptForwardedEvents = m_attempt->m_hasForwardedEvents;
}

void RelayedRequest::onSilentAttemptLost(const Http::ClientCallEnd &end)
{
    Telemetry::LogLine line("silent_attempt_lost");
    line.text("id", m_facts.m_attemptId).text("endpoint", m_silentAttempt->m_endpoint.m_id).text("detail", end.m_error.message());
    m_relay.m_parts.m_log.write(line);
    endSilentAttempt();
}

void RelayedRequest::endSilentAttempt()
{
    if (m_silentAttempt) {
        m_silentAttempt->m_call->cancel();
        m_relay.m_parts.m_endpointTracker.recordEnded(m_silentAttempt->m_endpoint);
        m_silentAttempt.reset();
    }
}

}
