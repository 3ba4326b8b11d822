/// @file The part of a relayed request's implementation that records what an endpoint states about itself in an answer: limits, backoffs, that it is leaving.

#include "LibRelay/LimitLine.h"
#include "LibRelay/RelayedRequest.h"
#include "LibRelay/RequestTimeouts.h"
#include "LibRelay/StatusCodes.h"

#include <algorithm>

namespace Relay {

void RelayedRequest::recordLimit(const AnswerFacts &facts)
{
    Placement::RequestLimits &limits = m_relay.m_parts.m_requestLimits;
    const Fleet::Endpoint &endpoint = m_attempt->m_endpoint;
    const bool isOwnAnswer = facts.m_attemptId == m_facts.m_attemptId;
    if (!isOwnAnswer || !limits.recordAnswer(endpoint, facts.m_requestLimit, m_attempt->m_sentAt, Core::Clock::now())) {
        return;
    }
    m_relay.m_parts.m_log.write(limitLine(endpoint, limits, "answer").text("id", m_facts.m_attemptId));
}

bool RelayedRequest::isEndpointsOwn(const Http::AnswerHead &head, const AnswerFacts &facts) const
{
    const bool isOfOtherRequest = !facts.m_attemptId.empty() && facts.m_attemptId != m_facts.m_attemptId;
    return !isOfOtherRequest && head.m_status != Misdirected;
}

void RelayedRequest::recordLeaving(const Http::AnswerHead &head, const AnswerFacts &facts)
{
    const Fleet::Endpoint &endpoint = m_attempt->m_endpoint;
    const bool saysLeaving = facts.m_isLeaving && isEndpointsOwn(head, facts);
    if (!saysLeaving || !m_relay.m_parts.m_fleetState.recordLeaving(endpoint.m_id, endpoint.m_startedMilliseconds)) {
        return;
    }
    m_relay.m_parts.m_slotTracker.recordReport(endpoint.m_id, Placement::ReportedSlots{}, Core::Clock::now());
    Telemetry::LogLine line("endpoint_leaving");
    line.text("endpoint", endpoint.m_id).text("id", m_facts.m_attemptId).number("status", static_cast<std::int64_t>(head.m_status));
    m_relay.m_parts.m_log.write(line);
}

void RelayedRequest::recordBackoff(const Http::AnswerHead &head, const AnswerFacts &facts)
{
    const bool isRefusal = head.m_status == ServiceUnavailable || head.m_status == TooManyRequests;
    const std::string *value = Http::findField(head.m_fields, "Retry-After");
    if (!isRefusal || !isEndpointsOwn(head, facts) || !value) {
        return;
    }
    const Core::Instant now = Core::Clock::now();
    const Fleet::Endpoint &endpoint = m_attempt->m_endpoint;
    Placement::EndpointTracker &tracker = m_relay.m_parts.m_endpointTracker;
    const std::optional<Core::Duration> asked = Http::parseRetryAfter(*value);
    const std::uint64_t maximumSpread = static_cast<std::uint64_t>(tracker.backoffSettings().m_maximumSpread.count());
    const Core::Duration spread(static_cast<std::int64_t>(m_relay.m_parts.m_random.below(maximumSpread)));
    const Placement::Backoff backoff = tracker.recordBackoff(endpoint, asked.value_or(Core::Duration(0)), spread, now);
    m_relay.m_parts.m_slotTracker.block(endpoint.m_id, backoff.m_end);
    Telemetry::LogLine line("endpoint_backoff");
    line.text("endpoint", endpoint.m_id).text("id", m_facts.m_attemptId).text("retry_after", m_statedRetryAfter).flag("readable", asked.has_value());
    line.number("sends_nothing_ms", std::max(0.0, Core::secondsBetween(now, backoff.m_end) * MillisecondsPerSecond));
    m_relay.m_parts.m_log.write(line);
}

}
