/// @file Implementation of the state machine of a relayed request.

#include "LibRelay/RelayedRequest.h"

#include "LibRelay/CallerAccess.h"
#include "LibRelay/RequestTimeouts.h"
#include "LibRelay/StatusCodes.h"

#include <algorithm>

namespace Relay {

namespace {

constexpr std::uint32_t HighestPriority = 0;

/// Bytes that may be buffered for a slow caller before reading from its endpoint pauses: a few dozen events.
constexpr std::size_t MaximumPendingBytes = 64 << 10;
constexpr std::size_t MaximumEventBytes = 1 << 20; ///< Many times the size of an event. Endpoints in trouble may send bytes without end.
constexpr std::size_t MaximumRepeatedBytes = 1 << 20; ///< Many times the size of a stream, from the start of which an endpoint may send it again.
constexpr std::size_t UnreservedEventBytes = 4 << 10; ///< Of an incomplete event; covered by what is reserved for each request.
constexpr std::size_t MaximumLoggedFieldBytes = 64; ///< Of a header field's value.
constexpr std::size_t MaximumLoggedParts = 8; ///< Of a prompt.
constexpr Core::Duration MinimumHeadTimeout{400};
constexpr Core::Duration MaximumHeadTimeout{2000};

/// Returns whether the status guarantees that the request has not run. Such statuses are forwarded only together with the endpoint's own guarantee.
bool guaranteesNotRun(int status)
{
    return status == RequestTimeout || status == Misdirected || status == TooManyRequests || status == ServiceUnavailable;
}

/// Returns the outcome of a request that is ended with an own answer of this status.
RequestOutcome outcomeOfStatus(int status)
{
    if (guaranteesNotRun(status)) {
        return RequestOutcome::Refused;
    }
    return status < InternalError ? RequestOutcome::Rejected : RequestOutcome::Failed;
}

std::string_view outcomeName(RequestOutcome outcome)
{
    switch (outcome) {
    case RequestOutcome::Answered:
        return "answered";
    case RequestOutcome::Refused:
        return "refused";
    case RequestOutcome::CallerLeft:
        return "caller_left";
    case RequestOutcome::Failed:
    case RequestOutcome::Rejected:
        break;
    }
    return "failed";
}

std::string joined(const std::set<std::string> &names)
{
    std::string text;
    for (const std::string &name : names) {
        text += (text.empty() ? "" : ",") + name;
    }
    return text;
}

/// Returns the rank of a request for a service with ranks. A less urgent account or route adds to it, so that requests of one account are told apart, too.
std::uint32_t rankOf(const Fleet::Route &route, const Fleet::ClientAccount *account)
{
    return route.m_priority + (account ? account->m_priority.value_or(0) : 0);
}

}

RelayedRequest::RelayedRequest(Relay &relay, std::shared_ptr<Http::ServerConnection> connection, Http::ServerRequest request)
    : m_relay(relay)
    , m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_timer(relay.m_parts.m_loop)
    , m_facts(relay.m_dialect.m_readRequest(m_request.m_fields))
    , m_configuration(relay.m_parts.m_fleetState.configuration())
    , m_arrivedAt(m_request.m_arrivedAt)
    , m_retryLot(relay.m_parts.m_random.unit())
    , m_framer(m_facts.m_resumeAfter)
    , m_partialEventMemory(m_connection->makeAnswerReservation())
    , m_holdTimer(relay.m_parts.m_loop)
{
}

void RelayedRequest::start()
{
    m_connection->onPeerClosed([weak = weak_from_this()] {
        const std::shared_ptr<RelayedRequest> self = weak.lock();
        if (self) {
            self->onCallerDisconnected();
        }
    });
    if (!m_configuration) {
        awaitConfiguration();
        return;
    }
    onConfigurationKnown();
}

void RelayedRequest::onConfigurationKnown()
{
    constexpr std::uint64_t yieldDraws = 1 << 16;
    if (m_isFinished) {
        return;
    }
    m_configuration = m_relay.m_parts.m_fleetState.configuration();
    if (!findRoute() || !findAccount()) {
        return;
    }
    setDeadline();
    m_service = chooseService();
    if (!m_service) {
        refuse("the route names no known service", m_relay.m_settings.m_retryAfter);
        return;
    }
    if (m_service->m_engine.m_slots > 0) {
        for (std::string &id : Quarantine::normalizedPartIds(m_facts.m_promptParts)) {
            m_promptParts.push_back(Quarantine::PromptPart{m_service->m_name, std::move(id)});
        }
        m_relay.m_parts.m_quarantine.recordArrival(m_promptParts, m_arrivedAt);
    }
    m_relay.m_parts.m_retryBudgets.recordRequest(m_service->m_name, Core::Clock::now());
    const Placement::HomeRegions accountHomes = m_account ? m_account->m_homeRegions : Fleet::OptionalList<std::string>();
    m_places = Placement::homePlaces(m_route->m_homeRegions, accountHomes, m_relay.m_settings.m_regions);
    m_rank = m_account && m_account->m_priority ? *m_account->m_priority : m_route->m_priority;
    if (m_service->m_mostUrgentRank) {
        m_rank = rankOf(*m_route, m_account);
        m_mayBorrow = m_route->m_priority <= *m_service->m_mostUrgentRank;
        m_relay.m_counters.m_yielding.add(m_mayBorrow ? 0 : 1);
        m_yielded = Placement::yieldedTime(m_rank, m_relay.m_parts.m_random.below(yieldDraws), m_relay.m_settings.m_queue);
    }
    if (m_service->m_engine.m_slots > 0 && m_service->m_hasLongObjectives) {
        const bool mayBeLong = m_route->m_goalMilliseconds >= Fleet::LongObjectiveRatio * m_service->m_shortestGoalMilliseconds;
        const Placement::PromptSeparationSettings &settings = m_relay.m_settings.m_promptSeparation;
        Placement::PromptSizes &sizes = m_relay.m_promptSizes[m_service->m_name];
        sizes.record(m_service->m_engine, {m_facts.m_promptTokens, m_facts.m_answerTokens}, mayBeLong, settings);
        m_prompt = Placement::promptPreference(sizes, m_facts.m_promptTokens, mayBeLong, settings);
    }
    if (canMeetObjective()) {
        m_relay.m_waitingRequests.recordTimelyArrival(m_service->m_name, m_places, m_rank, m_arrivedAt);
    }
    if (!canEndInTime()) {
        endForLeaving();
    } else if (m_relay.m_waitingRequests.isEmpty(m_service->m_name) || !joinQueue()) {
        tryEndpoint();
    }
}

bool RelayedRequest::findRoute()
{
    const std::string *host = Http::findField(m_request.m_fields, "Host");
    m_route = host ? m_configuration->route(Http::hostName(*host), Http::pathOf(m_request.m_target)) : nullptr;
    if (!m_route) {
        answerWithText(NotFound, {}, "no route");
        return false;
    }
    if (m_facts.m_attemptId.empty()) {
        answerWithText(BadRequest, {}, "the request has no attempt id");
        return false;
    }
    return true;
}

bool RelayedRequest::findAccount()
{
    m_account = accountOf(*m_configuration, m_facts);
    if (!mayUseRoute(*m_configuration, *m_route, m_facts)) {
        answerWithText(Unauthorized, {}, "unknown key");
        return false;
    }
    return true;
}

void RelayedRequest::setDeadline()
{
    const Core::Duration timeout = requestTimeout(*m_route, m_facts);
    m_deadline = m_arrivedAt + timeout;
    m_elapsedBeforeArrival = m_relay.m_parts.m_elapsedTimeEstimator.estimateElapsed(m_route->m_name, timeout, m_arrivedAt);
    m_timer.expires_at(m_deadline);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<RelayedRequest> self = weak.lock();
        if (!error && self) {
            self->onDeadline();
        }
    });
}

const Fleet::Service *RelayedRequest::chooseService()
{
    double total = 0;
    for (const Fleet::ServiceShare &share : m_route->m_services) {
        total += share.m_weight;
    }
    double remaining = m_relay.m_parts.m_random.unit() * total;
    for (const Fleet::ServiceShare &share : m_route->m_services) {
        remaining -= share.m_weight;
        if (remaining < 0) {
            return m_configuration->service(share.m_service);
        }
    }
    return m_route->m_services.empty() ? nullptr : m_configuration->service(m_route->m_services.back().m_service);
}

Core::Duration RelayedRequest::timeLeft() const
{
    return std::chrono::duration_cast<Core::Duration>(m_deadline - Core::Clock::now());
}

Placement::ChoiceResult RelayedRequest::chooseEndpoint() const
{
    const Core::Instant now = Core::Clock::now();
    Placement::ChoiceRequest request;
    request.m_service = m_service->m_name;
    request.m_size = {m_facts.m_promptTokens, m_facts.m_answerTokens};
    request.m_excluded = m_excluded;
    request.m_canWait = m_service->m_engine.m_slots > 0;
    request.m_neededSlots = neededSlots();
    request.m_places = m_places;
    request.m_prompt = m_prompt;
    if (m_service->m_engine.m_slots > 0) {
        request.m_model = m_facts.m_model;
        request.m_requiredVersion = m_relay.m_parts.m_versionDeadlines.requiredVersion(m_facts.m_model, now);
        const Fleet::DeclaredWeights *declared = m_relay.m_parts.m_fleetState.declaredWeights(m_facts.m_model);
        request.m_newestVersion = declared ? std::optional<std::uint64_t>(declared->m_version) : std::nullopt;
    }
    const Placement::ChoiceView view{m_relay.m_parts.m_fleetState.endpoints(),
                                     m_relay.m_parts.m_endpointTracker,
                                     m_relay.m_parts.m_slotTracker,
                                     m_relay.m_parts.m_requestLimits,
                                     m_service->m_engine,
                                     m_relay.m_settings.m_failureDomain,
                                     now,
                                     m_relay.m_parts.m_fleetState.evacuatedDomains(),
                                     m_relay.m_parts.m_coldBudget};
    return Placement::chooseEndpoint(request, view, m_relay.m_parts.m_random);
}

void RelayedRequest::tryEndpoint()
{
    if (timeLeft() < m_relay.m_settings.m_minimumTimeLeft) {
        fail(GatewayTimeout, "too little time is left for another attempt");
        return;
    }
    if (!canEndInTime()) {
        endForLeaving();
        return;
    }
    if (!m_lastFailure.empty() && !mayRepeat(callerWait())) {
        m_retryObstacle = RetryObstacle::CallerLeaves;
        endUnsent("the caller leaves before another attempt could be of use, after: " + m_lastFailure, m_relay.m_settings.m_retryAfter);
        return;
    }
    if (!passesQuarantine()) {
        return;
    }
    const Placement::ChoiceResult result = chooseEndpoint();
    if (result.m_choice) {
        admitAndSend(*result.m_choice);
        return;
    }
    if (result.m_reason == Placement::NoChoiceReason::LimitReached) {
        m_relay.m_counters.m_limitReached.add();
    }
    if (result.m_reason == Placement::NoChoiceReason::BackedOff) {
        m_relay.m_counters.m_backedOff.add();
    }
    if (result.m_reason == Placement::NoChoiceReason::NoAllowedPlace) {
        // Waiting is of no use: a home or the end of an evacuation is up to the operators.
        m_relay.m_counters.m_withoutPlace.add();
        endWithoutEndpoint(result.m_reason);
        return;
    }
    recordWeightAvailability(result.m_reason);
    if (!enqueue()) {
        endWithoutEndpoint(result.m_reason);
    }
}

void RelayedRequest::admitAndSend(const Placement::Choice &choice)
{
    m_isAdmitted = true;
    m_relay.m_waitingRequests.recordWeightAvailability(m_service->m_name, m_places, true, Core::Clock::now());
    send(choice);
}

void RelayedRequest::endWithoutEndpoint(Placement::NoChoiceReason noChoiceReason)
{
    m_retryObstacle = m_lastFailure.empty() ? RetryObstacle::None : RetryObstacle::NoEndpoint;
    const std::string reason = std::string(Placement::noChoiceReasonName(noChoiceReason)) + (m_lastFailure.empty() ? "" : " after: " + m_lastFailure);
    endUnsent(reason, retryAfter(noChoiceReason));
}

void RelayedRequest::endUnsent(const std::string &reason, Core::Duration retryAfter)
{
    if (m_isHeadForwarded) {
        m_connection->abort();
        finish(RequestOutcome::Failed, 0, "the answer broke off: " + reason);
        return;
    }
    if (m_mayHaveRun) {
        fail(BadGateway, reason);
        return;
    }
    refuse(reason, retryAfter);
}

Core::Duration RelayedRequest::elapsedSinceFirstTry() const
{
    return m_elapsedBeforeArrival + std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - m_arrivedAt);
}

bool RelayedRequest::canMeetObjective() const
{
    return elapsedSinceFirstTry() < Core::Duration(m_route->m_goalMilliseconds);
}

std::optional<double> RelayedRequest::neededSlots() const
{
    if (m_isAdmitted || m_route->m_goalMilliseconds == 0) {
        return std::nullopt;
    }
    return Placement::neededSlots(admissionView(), m_relay.m_settings.m_admission);
}

Placement::AdmissionView RelayedRequest::admissionView() const
{
    const Placement::SlotTracker &slotTracker = m_relay.m_parts.m_slotTracker;
    return Placement::AdmissionView{slotTracker.reportingEngines(Core::Clock::now(), m_places), slotTracker.share(), m_mayBorrow && canMeetObjective()};
}

AttemptFacts RelayedRequest::attemptFacts(const Placement::Choice &choice) const
{
    AttemptFacts facts;
    facts.m_endpointId = choice.m_endpoint.m_id;
    facts.m_timeLeft = std::max(Core::Duration(1), timeLeft() - m_relay.m_settings.m_answerMargin);
    facts.m_priority = m_rank;
    if (m_account) {
        facts.m_account = m_account->m_name;
    }
    if (m_isHeadForwarded) {
        // The caller is already reading this stream. If the stream were queued behind requests that wait for their first event, it would
        // pause for longer than its objective allows.
        facts.m_priority = HighestPriority;
    }
    const bool isBound = m_relay.m_parts.m_versionDeadlines.requiredVersion(m_facts.m_model, Core::Clock::now()).has_value();
    if (isBound && m_service->m_engine.m_slots > 0) {
        // The engine compares versions for equality, so the request names the version that the engine has, which may be newer than the required one.
        facts.m_expectedVersion = choice.m_version;
    }
    facts.m_resumeAfter = m_framer.lastId();
    return facts;
}

CallerWait RelayedRequest::callerWait() const
{
    const Core::Instant silentSince = m_lastEventAt.value_or(m_arrivedAt);
    CallerWait wait;
    wait.m_isStream = m_route->m_kind == Fleet::RequestKind::Stream && m_route->m_gapGoalMilliseconds > 0;
    wait.m_goal = Core::Duration(m_route->m_goalMilliseconds);
    wait.m_gapGoal = Core::Duration(m_route->m_gapGoalMilliseconds);
    wait.m_timeLeft = timeLeft();
    wait.m_silence = std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - silentSince);
    return wait;
}

Http::ClientCallLimits RelayedRequest::callLimits() const
{
    Http::ClientCallLimits limits;
    limits.m_connectTimeout = m_relay.m_settings.m_connectTimeout;
    limits.m_headTimeout = timeLeft() + m_relay.m_settings.m_answerMargin;
    limits.m_idleTimeout = limits.m_headTimeout;
    limits.m_bodyTimeout = limits.m_headTimeout; // The usual limit would cut long streams before their deadline.
    const bool isLastAttempt = m_attempts + 1 >= m_route->m_maximumAttempts;
    if (!m_route->isRepeatable() || isLastAttempt) {
        limits.m_headTimeout = m_attempts > 0 ? silenceBeforeCancellation(limits.m_headTimeout, callerWait()) : limits.m_headTimeout;
        return limits;
    }
    const Core::Duration usual = std::clamp(scaled(m_route->m_goalMilliseconds, HeadTimeoutInGoals), MinimumHeadTimeout, MaximumHeadTimeout);
    limits.m_headTimeout = std::min(limits.m_headTimeout, silenceBeforeMove(usual, callerWait()));
    if (m_route->m_isResumable && m_route->m_gapGoalMilliseconds > 0) {
        limits.m_idleTimeout = std::min(limits.m_idleTimeout, scaled(m_route->m_gapGoalMilliseconds, PauseTimeoutInGaps));
    }
    return limits;
}

void RelayedRequest::send(const Placement::Choice &choice)
{
    if (isRetry() && !spendRetry()) {
        m_retryObstacle = RetryObstacle::NoBudget;
        endUnsent("no retry is left in the budget, after: " + m_lastFailure, m_relay.m_settings.m_retryAfter);
        return;
    }
    Http::ClientRequest outgoing;
    outgoing.m_method = m_request.m_method;
    outgoing.m_target = m_request.m_target;
    outgoing.m_fields = m_relay.m_dialect.m_attemptFields(Http::endToEndFields(m_request.m_fields), attemptFacts(choice));
    outgoing.m_body = m_request.m_body;
    Http::ClientCallEvents events;
    const std::shared_ptr<RelayedRequest> self = shared_from_this();
    Attempt attempt;
    attempt.m_number = ++m_lastAttemptNumber;
    events.m_onHead = [self](const Http::AnswerHead &head) { self->onHead(head); };
    events.m_onData = [self, number = attempt.m_number](std::string_view bytes) {
        self->selectAttempt(number);
        self->onData(bytes);
    };
    events.m_onEnd = [self, number = attempt.m_number](const Http::ClientCallEnd &end) {
        if (!end.m_isComplete && self->isSilentAttempt(number)) {
            self->onSilentAttemptLost(end);
            return;
        }
        self->selectAttempt(number);
        self->onAttemptEnded(end);
    };
    events.m_onSilence = [self, number = attempt.m_number] { return !self->isSilentAttempt(number) && self->shouldLeaveEndpoint(); };
    attempt.m_endpoint = choice.m_endpoint;
    attempt.m_sentAt = Core::Clock::now();
    m_firstSentAt = m_firstSentAt.value_or(attempt.m_sentAt);
    attempt.m_expectedMilliseconds = choice.m_expectedMilliseconds;
    m_expectedFirstByte =
        std::chrono::duration_cast<Core::Duration>(attempt.m_sentAt - m_arrivedAt) + Core::Duration(static_cast<std::int64_t>(choice.m_expectedMilliseconds));
    attempt.m_load = choice.m_load;
    attempt.m_reportAge = choice.m_reportAge;
    attempt.m_version = choice.m_version;
    attempt.m_call = std::make_shared<Http::ClientCall>(m_relay.m_parts.m_loop, choice.m_endpoint.m_address, callLimits(), std::move(events));
    m_attempt = std::move(attempt);
    m_statedRetryAfter.clear();
    m_hasAttemptForwardedEvents = false;
    ++m_attempts;
    m_relay.m_parts.m_endpointTracker.recordSent(choice.m_endpoint, m_attempt->m_sentAt);
    m_relay.m_parts.m_slotTracker.recordSent(choice.m_endpoint.m_id);
    m_relay.m_parts.m_requestLimits.recordSent(choice.m_endpoint, m_attempt->m_sentAt);
    m_relay.m_parts.m_coldBudget.recordSent(choice.m_endpoint, m_attempt->m_sentAt);
    m_relay.m_parts.m_quarantine.recordSent(m_promptParts, m_attempt->m_sentAt);
    m_attempt->m_call->start(outgoing);
}

bool RelayedRequest::acceptHead(const Http::AnswerHead &head, const AnswerFacts &facts)
{
    const bool isSuccess = head.m_status >= Ok && head.m_status < MultipleChoices;
    if (facts.m_attemptId != m_facts.m_attemptId && (isSuccess || !facts.m_attemptId.empty())) {
        onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "the answer belongs to another request");
        return false;
    }
    if (facts.m_didNotRun) {
        const bool isWrong = head.m_status == Misdirected;
        onAttemptFailed(isWrong ? Placement::EndpointFailure::WrongInstance : Placement::EndpointFailure::Refused,
                        false,
                        "not run, status " + std::to_string(head.m_status));
        return false;
    }
    if (Http::findField(head.m_fields, "Content-Encoding") || (isSuccess && !facts.m_isSealed)) {
        onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "the answer is not the endpoint's own");
        return false;
    }
    if (guaranteesNotRun(head.m_status)) {
        onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "status " + std::to_string(head.m_status) + " without a promise");
        return false;
    }
    if (head.m_status >= InternalError && m_route->isRepeatable() && m_attempts < m_route->m_maximumAttempts && !m_isHeadForwarded) {
        onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "status " + std::to_string(head.m_status));
        return false;
    }
    return true;
}

void RelayedRequest::onHead(const Http::AnswerHead &head)
{
    m_bodyEnd = head.m_bodyEnd;
    m_relay.m_counters.m_answers[static_cast<std::size_t>(head.m_bodyEnd)]->add();
    const AnswerFacts facts = m_relay.m_dialect.m_readAnswer(head.m_fields);
    const Core::Instant now = Core::Clock::now();
    // Agents report the load of engines, including whether they are loading weights. Plain services have no agents.
    if (facts.m_load && m_service->m_engine.m_slots == 0) {
        m_relay.m_parts.m_endpointTracker.recordLoad(m_attempt->m_endpoint, facts.m_load->m_running, facts.m_load->m_waiting, now);
    }
    m_statedRetryAfter = Http::fieldText(head.m_fields, "Retry-After").substr(0, MaximumLoggedFieldBytes);
    if (isEndpointsOwn(head, facts)) {
        m_relay.m_parts.m_quarantine.recordAlive(incarnation(), m_attempt->m_sentAt);
    }
    recordLimit(facts);
    recordBackoff(head, facts);
    recordLeaving(head, facts);
    if (!acceptHead(head, facts)) {
        return;
    }
    if (head.m_status >= Ok && head.m_status < MultipleChoices) {
        m_attempt->m_answerBeganAt = now;
    }
    if (m_isHeadForwarded) {
        if (head.m_status != Ok) {
            onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "the stream was not resumed, status " + std::to_string(head.m_status));
            return;
        }
        m_framer.discardPartialEvent();
        endSilentAttempt();
        return;
    }
    forwardHead(head);
}

void RelayedRequest::forwardHead(const Http::AnswerHead &head)
{
    m_isHeadForwarded = true;
    m_isEventStream = m_route->m_kind == Fleet::RequestKind::Stream && head.m_status == Ok;
    const double seconds = Core::secondsBetween(m_arrivedAt, Core::Clock::now());
    m_firstByteMilliseconds = seconds * MillisecondsPerSecond;
    m_relay.m_counters.m_firstByte.record(seconds);
    m_connection->onDrained([weak = weak_from_this()] {
        const std::shared_ptr<RelayedRequest> self = weak.lock();
        if (self && self->m_attempt) {
            self->m_attempt->m_call->resume();
        }
    });
    m_framing = framing(head);
    m_connection->beginAnswer(head.m_status, head.m_reason, Http::endToEndFields(head.m_fields), m_framing);
}

Http::AnswerFraming RelayedRequest::framing(const Http::AnswerHead &head) const
{
    // The relay must not state more about the end of an answer than its endpoint did. Chunks state as much as a length, and suit a stream that another endpoint
    // may continue.
    const bool isStreamWithEnd = m_isEventStream && (head.m_bodyEnd == Http::BodyEnd::Length || head.m_bodyEnd == Http::BodyEnd::LastChunk);
    return isStreamWithEnd ? Http::AnswerFraming{Http::BodyEnd::LastChunk, std::nullopt} : Http::AnswerFraming{head.m_bodyEnd, head.m_contentLength};
}

void RelayedRequest::onData(std::string_view bytes)
{
    if (m_isEventStream) {
        const std::string events = m_framer.feed(bytes);
        if (m_framer.partialEvent().size() > MaximumEventBytes) {
            onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "an event of the stream does not end");
            return;
        }
        if (m_framer.repeatedBytes() > MaximumRepeatedBytes) {
            onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "the events of the stream do not advance");
            return;
        }
        if (!reservePartialEvent()) {
            onAttemptFailed(Placement::EndpointFailure::BadAnswer, true, "no memory is left for an event of the stream that is not complete");
            return;
        }
        if (!events.empty()) {
            m_hasAttemptForwardedEvents = true;
            recordPause();
        }
        m_connection->sendBody(events);
        if (m_framer.hasGap()) {
            endAttempt();
            m_connection->abort();
            finish(RequestOutcome::Failed, 0, "an event is missing in the stream");
            return;
        }
    } else {
        m_connection->sendBody(bytes);
    }
    if (m_connection->isBacklogged(MaximumPendingBytes)) {
        m_attempt->m_call->pause();
    }
}

bool RelayedRequest::reservePartialEvent()
{
    const std::size_t bytes = m_framer.partialEvent().size();
    const std::size_t reserved = bytes > UnreservedEventBytes ? 2 * bytes : 0; // Text that grows is held with up to twice its size.
    return m_partialEventMemory.tryResize(reserved);
}

void RelayedRequest::recordPause()
{
    const Core::Instant now = Core::Clock::now();
    if (m_lastEventAt) {
        m_longestPause = std::max(m_longestPause, std::chrono::duration_cast<Core::Duration>(now - *m_lastEventAt));
    }
    m_lastEventAt = now;
}

void RelayedRequest::onAttemptEnded(const Http::ClientCallEnd &end)
{
    if (end.m_isComplete) {
        onBodyEnded();
        return;
    }
    const bool isUnreachable = !end.m_wasSent;
    // A time limit of this process shows nothing about the endpoint, which may only be slow or out of reach.
    if (!isUnreachable && end.m_error.m_code == Core::ErrorCode::Ambiguous) {
        recordEndpointLost();
    }
    onAttemptFailed(isUnreachable ? Placement::EndpointFailure::Unreachable : Placement::EndpointFailure::ConnectionLost, end.m_wasSent, end.m_error.message());
}

std::string RelayedRequest::interruption() const
{
    if (m_isEventStream && !m_framer.partialEvent().empty()) {
        return "the stream ended inside an event";
    }
    const bool isEmptyStream = m_isEventStream && !m_hasAttemptForwardedEvents;
    if (m_bodyEnd == Http::BodyEnd::Close && (isEmptyStream || m_framing.m_end != Http::BodyEnd::Close)) {
        return "the connection was closed, and nothing shows that the stream is complete";
    }
    return {};
}

void RelayedRequest::onBodyEnded()
{
    const std::string reason = interruption();
    if (!reason.empty()) {
        recordEndpointLost();
        onAttemptFailed(Placement::EndpointFailure::ConnectionLost, true, reason);
        return;
    }
    recordAnswerCompleted();
    if (m_attempt->m_answerBeganAt) {
        recordAnswerTime(); // A failure comes sooner than an answer.
    }
    const Core::Instant now = Core::Clock::now();
    const double milliseconds = Core::secondsBetween(m_attempt->m_sentAt, now) * MillisecondsPerSecond;
    m_relay.m_parts.m_endpointTracker.recordAnswerTime(m_attempt->m_endpoint, milliseconds);
    if (m_bodyEnd != Http::BodyEnd::Close) {
        m_relay.m_parts.m_endpointTracker.recordSuccess(m_attempt->m_endpoint);
    }
    m_relay.m_counters.m_completeAnswer.record(Core::secondsBetween(m_arrivedAt, now));
    watchForUnsentAnswer();
    m_connection->finish();
    logEnd(RequestOutcome::Answered, Ok, "");
    endAttempt();
    finish(RequestOutcome::Answered, Ok, "");
}

void RelayedRequest::endAttempt()
{
    if (!m_attempt) {
        return;
    }
    m_attempt->m_call->cancel();
    m_relay.m_parts.m_endpointTracker.recordEnded(m_attempt->m_endpoint);
    m_attempt.reset();
}

void RelayedRequest::onAttemptFailed(Placement::EndpointFailure failure, bool mayHaveRun, const std::string &detail)
{
    m_relay.m_parts.m_endpointTracker.recordFailure(m_attempt->m_endpoint, failure, Core::Clock::now());
    m_excluded.insert(m_attempt->m_endpoint.m_id);
    m_lastFailure = detail;
    m_mayHaveRun = m_mayHaveRun || mayHaveRun;
    m_hasMetRestartedEngine = m_hasMetRestartedEngine || (failure == Placement::EndpointFailure::WrongInstance && m_service->m_engine.m_slots > 0);
    Telemetry::LogLine line("attempt_failed");
    line.text("id", m_facts.m_attemptId).text("route", m_route->m_name).text("endpoint", m_attempt->m_endpoint.m_id);
    line.text("peer", m_attempt->m_endpoint.m_address.toString()).flag("may_have_run", mayHaveRun).text("detail", detail);
    const std::optional<Placement::EngineReport> &report = m_relay.m_parts.m_endpointTracker.get(m_attempt->m_endpoint).m_engineReport;
    if (report) {
        line.flag("engine_loading", report->m_isLoading);
    }
    if (!m_statedRetryAfter.empty()) {
        line.text("retry_after", m_statedRetryAfter);
    }
    describeWork(line);
    m_relay.m_parts.m_log.write(line);
    endAttempt();
    // Without a connection nothing of the request was sent, so the failure uses up neither an attempt nor the retry budget. When many endpoints fail at once,
    // each entry has to find out on its own which ones.
    const bool wasSent = failure != Placement::EndpointFailure::Unreachable;
    m_attempts -= wasSent ? 0 : 1;
    m_isRetryPaid = m_isRetryPaid && !wasSent;
    if (m_silentAttempt) {
        returnToSilentAttempt();
        return;
    }
    if (m_isHeadForwarded) {
        if (!resumeStream()) {
            m_connection->abort();
            finish(RequestOutcome::Failed, 0, "the answer broke off: " + detail);
        }
        return;
    }
    if (!wasSent || mayRetry(mayHaveRun)) {
        m_relay.m_counters.m_retries.add();
        tryEndpoint();
        return;
    }
    if (m_mayHaveRun) {
        fail(BadGateway, detail);
        return;
    }
    refuse(detail, retryAfter(Placement::NoChoiceReason::NoEndpoint));
}

void RelayedRequest::describeWork(Telemetry::LogLine &line) const
{
    if (m_attempt->m_answerBeganAt) {
        line.number("writing_ms", Core::secondsBetween(*m_attempt->m_answerBeganAt, Core::Clock::now()) * MillisecondsPerSecond);
    }
    std::string parts;
    for (std::size_t index = 0; index < std::min(m_promptParts.size(), MaximumLoggedParts); ++index) {
        parts += (index > 0 ? "," : "") + m_promptParts[index].m_id;
    }
    if (!parts.empty()) {
        line.text("parts", parts);
    }
    if (m_lostEndpoints > 0) {
        line.text("request", m_identity->m_id).number("lost_endpoints", std::int64_t{m_lostEndpoints});
    }
}

bool RelayedRequest::resumeStream()
{
    if (!m_isEventStream) {
        m_retryObstacle = RetryObstacle::MayHaveRun;
        return false;
    }
    if (!mayRetry(true)) {
        return false;
    }
    m_framer.discardPartialEvent();
    if (!continueStream()) {
        return false;
    }
    m_relay.m_counters.m_resumed.add();
    return true;
}

bool RelayedRequest::continueStream()
{
    if (!canEndInTime()) {
        m_relay.m_counters.m_refusedLeaving.add();
        m_retryObstacle = RetryObstacle::ProcessLeaves;
        return false;
    }
    if (!passesQuarantine()) {
        return true;
    }
    const Placement::ChoiceResult result = chooseEndpoint();
    if (result.m_choice) {
        admitAndSend(*result.m_choice);
        return true;
    }
    if (result.m_reason == Placement::NoChoiceReason::NoAllowedPlace) {
        m_retryObstacle = RetryObstacle::NoEndpoint;
        return false;
    }
    recordWeightAvailability(result.m_reason);
    const bool isQueued = enqueue();
    m_retryObstacle = isQueued ? RetryObstacle::None : RetryObstacle::NoEndpoint;
    return isQueued;
}

void RelayedRequest::onDeadline()
{
    if (m_isFinished) {
        return;
    }
    m_mayHaveRun = m_mayHaveRun || m_attempt.has_value();
    recordAnswerTime();
    stopWaiting();
    endAttempt();
    endHold();
    if (m_isHeadForwarded) {
        m_connection->abort();
        finish(RequestOutcome::Failed, 0, "the time limit was reached within the answer");
        return;
    }
    if (m_mayHaveRun) {
        fail(GatewayTimeout, "the time limit was reached");
        return;
    }
    refuse("the time limit was reached before the request could be sent", m_relay.m_settings.m_retryAfter);
}

void RelayedRequest::onCallerDisconnected()
{
    if (m_isFinished) {
        return;
    }
    stopWaiting();
    endAttempt();
    finish(RequestOutcome::CallerLeft, 0, "the caller closed its connection");
}

void RelayedRequest::refuse(const std::string &reason, Core::Duration retryAfter)
{
    m_relay.m_parts.m_elapsedTimeEstimator.recordRefusal(Core::Clock::now());
    answerWithText(ServiceUnavailable, {Http::HeaderField{"Retry-After", Http::retryAfterText(retryAfter)}}, reason);
}

void RelayedRequest::fail(int status, const std::string &reason)
{
    answerWithText(status, {}, reason);
}

void RelayedRequest::answerWithText(int status, Http::HeaderFields fields, const std::string &reason)
{
    fields.push_back(Http::HeaderField{"Content-Type", "text/plain"});
    watchForUnsentAnswer();
    m_connection->answer(status, std::move(fields), reason + "\n");
    finish(outcomeOfStatus(status), status, reason);
}

void RelayedRequest::watchForUnsentAnswer()
{
    m_connection->onUnsentAnswer([&relay = m_relay, alive = m_relay.m_isAlive, id = m_facts.m_attemptId](std::size_t bytes) {
        if (*alive) {
            relay.m_counters.m_unsentAnswers.add();
            relay.m_parts.m_log.write(Telemetry::LogLine("answer_unsent").text("id", id).number("bytes", static_cast<std::int64_t>(bytes)));
        }
    });
}

void RelayedRequest::logEnd(RequestOutcome outcome, int status, const std::string &reason)
{
    const bool isSuccess = outcome == RequestOutcome::Answered;
    const bool isOrdinarySuccess = isSuccess && m_attempts == 1 && m_bodyEnd != Http::BodyEnd::Close;
    if (isOrdinarySuccess && ++m_relay.m_successes % m_relay.m_settings.m_successSampleInterval != 0) {
        return;
    }
    Telemetry::LogLine line("request");
    line.text("id", m_facts.m_attemptId).text("outcome", outcomeName(outcome)).number("status", static_cast<std::int64_t>(status));
    line.text("route", m_route ? m_route->m_name : "").text("account", m_account ? m_account->m_name : "");
    line.number("rank", std::int64_t{m_rank}).number("yielded_ms", std::int64_t{m_yielded.count()});
    if (m_places.m_hasHomes) {
        line.text("homes", joined(m_places.m_homes));
    }
    line.number("took_ms", Core::secondsBetween(m_arrivedAt, Core::Clock::now()) * MillisecondsPerSecond);
    line.number("first_byte_ms", m_firstByteMilliseconds).number("lost_ms", static_cast<std::int64_t>(m_elapsedBeforeArrival.count()));
    line.number("longest_pause_ms", static_cast<std::int64_t>(m_longestPause.count()));
    line.number("attempts", static_cast<std::int64_t>(m_attempts)).number("waited_ms", static_cast<std::int64_t>(m_totalWait.count()));
    describeConfiguration(line);
    if (m_attempt) {
        line.text("endpoint", m_attempt->m_endpoint.m_id).number("expected_ms", m_attempt->m_expectedMilliseconds);
        line.number("attempt_ms", Core::secondsBetween(m_attempt->m_sentAt, Core::Clock::now()) * MillisecondsPerSecond);
        line.number("running", static_cast<std::int64_t>(m_attempt->m_load.m_running));
        line.number("waiting", static_cast<std::int64_t>(m_attempt->m_load.m_waiting));
        line.number("sent_since", static_cast<std::int64_t>(m_attempt->m_load.m_sentSinceReport));
        line.number("report_age_ms", static_cast<std::int64_t>(m_attempt->m_reportAge.count()));
    }
    if (m_bodyEnd) {
        line.text("body_end", Http::bodyEndName(*m_bodyEnd)).number("partial_event_bytes", static_cast<std::int64_t>(m_framer.partialEvent().size()));
    }
    if (m_retryObstacle != RetryObstacle::None && !isSuccess) {
        line.text("not_retried", retryObstacleName(m_retryObstacle));
    }
    if (!reason.empty()) {
        line.text("reason", reason);
    }
    m_relay.m_parts.m_log.write(line);
}

void RelayedRequest::describeConfiguration(Telemetry::LogLine &line) const
{
    const Fleet::FleetState &state = m_relay.m_parts.m_fleetState;
    line.number("configuration", static_cast<std::int64_t>(m_configuration ? m_configuration->configuration().m_version : 0));
    if (m_configuration && state.configuration() != m_configuration) {
        line.number("configuration_at_end", static_cast<std::int64_t>(state.configuration()->configuration().m_version));
    }
    if (state.declarationsConfirmedAsOf()) {
        line.number("configuration_age_ms", Core::secondsBetween(*state.declarationsConfirmedAsOf(), Core::Clock::now()) * MillisecondsPerSecond);
    }
}

RequestEnd RelayedRequest::describeEnd(RequestOutcome outcome) const
{
    RequestEnd end;
    end.m_outcome = outcome;
    end.m_isHeadForwarded = m_isHeadForwarded;
    end.m_goal = Core::Duration(m_route ? m_route->m_goalMilliseconds : 0);
    end.m_gapGoal = Core::Duration(m_route && m_isEventStream ? m_route->m_gapGoalMilliseconds : 0);
    end.m_elapsedBefore = m_elapsedBeforeArrival;
    end.m_waited = m_totalWait;
    end.m_firstByte = Core::Duration(static_cast<std::int64_t>(m_firstByteMilliseconds));
    end.m_expectedFirstByte = m_expectedFirstByte;
    end.m_longestPause = m_longestPause;
    end.m_attempts = m_attempts;
    return end;
}

void RelayedRequest::countEnd(RequestOutcome outcome)
{
    m_relay.m_account.record(endCause(describeEnd(outcome)));
    RelayCounters &counters = m_relay.m_counters;
    switch (outcome) {
    case RequestOutcome::Answered:
        counters.m_succeeded.add();
        break;
    case RequestOutcome::Refused:
        counters.m_refused.add();
        break;
    case RequestOutcome::CallerLeft:
        counters.m_abandoned.add();
        break;
    case RequestOutcome::Failed:
    case RequestOutcome::Rejected:
        counters.m_failed.add();
        break;
    }
    if (outcome == RequestOutcome::Failed && m_isHeadForwarded) {
        counters.m_brokenAnswers.at(static_cast<std::size_t>(m_retryObstacle))->add();
    }
}

void RelayedRequest::finish(RequestOutcome outcome, int status, const std::string &reason)
{
    if (m_isFinished) {
        return;
    }
    m_isFinished = true;
    countEnd(outcome);
    if (outcome != RequestOutcome::Answered) {
        logEnd(outcome, status, reason);
    }
    m_timer.cancel();
    endSilentAttempt();
    endHold();
    releaseRetry();
    m_relay.m_openRequests.erase(shared_from_this());
}

}
