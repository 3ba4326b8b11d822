/// @file The part of a relayed request's implementation that keeps it from endpoints which end under a part of its prompt, and records what endpoints end
/// under.

#include "LibRelay/RelayedRequest.h"

namespace Relay {

Quarantine::Incarnation RelayedRequest::incarnation() const
{
    return Quarantine::incarnationOf(m_attempt->m_endpoint.m_id, m_attempt->m_endpoint.m_startedMilliseconds);
}

Quarantine::Account RelayedRequest::quarantineAccount() const
{
    return Quarantine::accountOf(m_account ? m_account->m_name : "");
}

Quarantine::RequestContent RelayedRequest::content() const
{
    Quarantine::RequestContent content;
    content.m_account = m_account ? m_account->m_name : "";
    content.m_method = m_request.m_method;
    content.m_host = Http::hostName(Http::fieldText(m_request.m_fields, "Host"));
    content.m_target = m_request.m_target;
    content.m_promptParts = m_facts.m_promptParts;
    content.m_promptParts.push_back(m_facts.m_ownPart);
    content.m_promptTokens = m_facts.m_promptTokens;
    content.m_answerTokens = m_facts.m_answerTokens;
    return content;
}

const Quarantine::PromptPart &RelayedRequest::identity()
{
    if (!m_identity) {
        m_identity = Quarantine::requestIdentity(content(), m_request.m_body.bytes());
    }
    return *m_identity;
}

bool RelayedRequest::passesQuarantine()
{
    const Quarantine::Treatment treatment = m_relay.m_parts.m_quarantine.treat(m_promptParts, quarantineAccount(), Core::Clock::now());
    switch (treatment.m_kind) {
    case Quarantine::TreatmentKind::Send:
        return true;
    case Quarantine::TreatmentKind::Hold:
        hold(treatment);
        return false;
    case Quarantine::TreatmentKind::Refuse:
        break;
    }
    m_relay.m_counters.m_quarantined.add();
    endUnsent("engines end under part " + treatment.m_part.m_id + " of the prompt", m_relay.m_settings.m_quarantineRetryAfter);
    return false;
}

void RelayedRequest::hold(const Quarantine::Treatment &treatment)
{
    const RelaySettings &settings = m_relay.m_settings;
    const bool hasRoom = m_isHeld || m_relay.m_heldRequests < settings.m_maximumHeldRequests;
    if (!hasRoom || timeLeft() < treatment.m_holdTime + settings.m_minimumTimeLeft) {
        endUnsent("it is being found out whether engines end under part " + treatment.m_part.m_id + " of the prompt", treatment.m_holdTime);
        return;
    }
    if (!m_isHeld) {
        m_isHeld = true;
        ++m_relay.m_heldRequests;
        m_relay.m_counters.m_held.add();
    }
    m_holdTimer.expires_after(std::min(treatment.m_holdTime, settings.m_holdCheckInterval));
    m_holdTimer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<RelayedRequest> self = weak.lock();
        if (!error && self && !self->m_isFinished) {
            self->continueAfterHold();
        }
    });
}

void RelayedRequest::continueAfterHold()
{
    if (!m_isHeadForwarded) {
        tryEndpoint();
    } else if (!continueStream()) {
        m_connection->abort();
        finish(RequestOutcome::Failed, 0, "the answer broke off: " + m_lastFailure);
    }
    const bool isStillHeld = !m_attempt && !isWaiting() && !m_isFinished;
    if (!isStillHeld) {
        endHold();
    }
}

void RelayedRequest::endHold()
{
    m_holdTimer.cancel();
    if (m_isHeld) {
        m_isHeld = false;
        --m_relay.m_heldRequests;
    }
}

Quarantine::RunFacts RelayedRequest::runFacts() const
{
    Quarantine::RunFacts facts;
    facts.m_parts = m_promptParts;
    facts.m_account = quarantineAccount();
    facts.m_request = Quarantine::requestOf(m_facts.m_attemptId);
    facts.m_incarnation = incarnation();
    if (m_attempt->m_answerBeganAt) {
        facts.m_writing = std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - *m_attempt->m_answerBeganAt);
    }
    facts.m_isEndStated = m_bodyEnd != Http::BodyEnd::Close;
    return facts;
}

void RelayedRequest::recordEndpointLost()
{
    ++m_lostEndpoints;
    m_relay.m_counters.m_lostEndpoints.add();
    identity();
    m_relay.m_parts.m_quarantine.recordCrash(runFacts(), Core::Clock::now());
    if (m_relay.m_onQuarantineChanged) {
        m_relay.m_onQuarantineChanged();
    }
}

void RelayedRequest::recordAnswerCompleted()
{
    const bool isEmpty = m_isEventStream && !m_hasAttemptForwardedEvents;
    if (m_promptParts.empty() || isEmpty || !m_attempt->m_answerBeganAt) {
        return;
    }
    m_relay.m_parts.m_quarantine.recordCompletion(runFacts(), Core::Clock::now());
    if (m_relay.m_onQuarantineChanged) {
        m_relay.m_onQuarantineChanged();
    }
}

}
