/// @file The part of a relayed request's implementation that keeps it from endpoints which end under it or a part of its prompt, and records what
/// endpoints end under.

#include "LibRelay/RelayedRequest.h"

namespace Relay {

namespace {

/// Requests with larger bodies are not remembered as answered, to spare the digest. Things that many callers want have small requests.
constexpr std::size_t MaximumProvenBytes = 16 << 10;

std::string describeReason(const Quarantine::Treatment &treatment)
{
    const bool isRequest = Quarantine::isRequestIdentity(treatment.m_part);
    return isRequest ? "this request, " + treatment.m_part.m_id : "part " + treatment.m_part.m_id + " of the prompt";
}

}

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

bool RelayedRequest::isKnownToQuarantine()
{
    const Quarantine::PartQuarantine &quarantine = m_relay.m_parts.m_quarantine;
    if (m_identity || !quarantine.knowsRequests()) {
        return m_identity.has_value();
    }
    if (m_identityPrefix.empty()) {
        m_identityPrefix = Quarantine::identityPrefix(content());
    }
    if (quarantine.knowsRequests(m_identityPrefix)) {
        identity();
    }
    return m_identity.has_value();
}

Quarantine::Treatment RelayedRequest::treatment()
{
    Quarantine::PartQuarantine &quarantine = m_relay.m_parts.m_quarantine;
    const Core::Instant now = Core::Clock::now();
    const Quarantine::Treatment byParts = quarantine.treat(m_promptParts, quarantineAccount(), now);
    if (byParts.m_kind == Quarantine::TreatmentKind::Refuse || !isKnownToQuarantine()) {
        return byParts;
    }
    return Quarantine::stricter(byParts, quarantine.treatRequest(identity(), m_arrivedAt, now));
}

bool RelayedRequest::passesQuarantine()
{
    const Quarantine::Treatment treatment = this->treatment();
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
    m_retryObstacle = m_lastFailure.empty() ? RetryObstacle::None : RetryObstacle::EndsEndpoints;
    endUnsent("endpoints end under " + describeReason(treatment), m_relay.m_settings.m_quarantineRetryAfter);
    return false;
}

void RelayedRequest::hold(const Quarantine::Treatment &treatment)
{
    const RelaySettings &settings = m_relay.m_settings;
    const bool hasRoom = m_isHeld || m_relay.m_heldRequests < settings.m_maximumHeldRequests;
    if (!hasRoom || timeLeft() < treatment.m_holdTime + settings.m_minimumTimeLeft) {
        m_retryObstacle = m_lastFailure.empty() ? RetryObstacle::None : RetryObstacle::EndsEndpoints;
        endUnsent("it is being found out whether endpoints end under " + describeReason(treatment), treatment.m_holdTime);
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
    facts.m_identity = m_identity;
    facts.m_request = m_identity ? Quarantine::requestOf(*m_identity) : 0;
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
    if (isEmpty || !m_attempt->m_answerBeganAt) {
        return;
    }
    if (isKnownToQuarantine() || m_request.m_body.size() <= MaximumProvenBytes) {
        identity();
    }
    m_relay.m_parts.m_quarantine.recordCompletion(runFacts(), Core::Clock::now());
    if (m_relay.m_onQuarantineChanged) {
        m_relay.m_onQuarantineChanged();
    }
}

}
