/// @file Execution of calls to plain services, and the claims that precede keyed ones.

#include "LibEntry/ServiceCall.h"
#include "LibClaims/CallStateMachine.h"

namespace Entry {

namespace {

constexpr std::size_t MaximumAttempts = 3;
constexpr Core::Duration DefaultRetryAfter{1000};
constexpr Core::Duration OutcomePollInterval{100};
constexpr Core::Duration OutcomeTimeout{2000};
constexpr double AnswerMemoryShareForNewCalls = 0.75; ///< Fraction of the memory for answers above which calls are refused. The rest is for running ones.
constexpr Core::Duration AnswerMemoryRetryAfter{1000}; ///< Most answers are sent within a second.
/// Failed outcome queries after which an outcome is unavailable.
constexpr int MaximumOutcomeQueries = 3;

Core::Duration remainingTime(Core::Instant deadline)
{
    return std::chrono::duration_cast<Core::Duration>(deadline - Core::Clock::now());
}

/// Returns the account's share of the service. Fails with NotFound if the service has templates but none of them names the account.
Core::Result<std::uint32_t> accountWeight(const Control::ControlState &state, const CallRequest &request)
{
    bool hasTemplate = false;
    for (const std::pair<const std::string, Control::AcceptedTemplate> &entry : state.m_templates) {
        const Control::Template &accepted = entry.second.m_template;
        if (accepted.m_service != request.m_service || accepted.m_kind != Control::ServiceKind::Plain) {
            continue;
        }
        hasTemplate = true;
        for (const Control::AccountParameters &parameters : accepted.m_accounts) {
            if (parameters.m_account == request.m_account) {
                return parameters.m_weight;
            }
        }
    }
    if (hasTemplate) {
        return Core::makeError(Core::ErrorCode::NotFound, "find service", request.m_service, "no template in force names the account " + request.m_account);
    }
    return 1;
}

Routing::Submission makeSubmission(const CallRequest &request, std::uint32_t weight, Core::Instant deadline)
{
    Routing::Submission submission;
    submission.m_request.m_account = request.m_account;
    submission.m_request.m_weight = weight;
    submission.m_request.m_priority = request.m_priority;
    submission.m_request.m_deadline = deadline;
    submission.m_group = Routing::GroupKey{request.m_service, ""};
    return submission;
}

Protocol::LiveRequest makeLiveRequest(const CallRequest &request, const Routing::Granted &granted, const std::string &attempt)
{
    Protocol::LiveRequest live;
    live.m_attempt = attempt;
    live.m_account = request.m_account;
    live.m_service = request.m_service;
    live.m_priority = request.m_priority;
    live.m_path = request.m_path;
    live.m_body = request.m_body;
    live.m_agentIncarnation = granted.m_member.m_incarnation;
    live.m_agentReport = granted.m_reportSequence;
    if (request.m_key) {
        live.m_repeatable = false;
        live.m_key = Claims::scopedKey(*request.m_key, request.m_account, request.m_service).m_text;
    }
    return live;
}

/// Result of an attempt.
struct AttemptResult
{
    AttemptOutcome m_outcome;
    ServiceAnswer m_answer; ///< Valid if the outcome is Complete.
};

Routing::CallResult callResult(const AttemptOutcome &outcome)
{
    if (outcome.m_end == AttemptEnd::Complete) {
        return Routing::CallResult::Answered;
    }
    const Core::ErrorCode code = outcome.m_error.m_code;
    const bool harmless = outcome.m_end == AttemptEnd::CallerGone || code == Core::ErrorCode::Overloaded || code == Core::ErrorCode::InvalidInput
        || code == Core::ErrorCode::Timeout;
    return harmless ? Routing::CallResult::Abandoned : Routing::CallResult::Failed;
}

/// Gives the body a capacity of at least @p size, for which memory is taken first. Returns whether there was enough.
bool reserveBody(std::string &body, std::size_t size, Core::ByteReservation &memory)
{
    if (size <= body.capacity()) {
        return true;
    }
    const std::size_t capacity = std::max(size, 2 * body.capacity());
    if (!memory.tryResize(capacity)) {
        return false;
    }
    body.reserve(capacity);
    return true;
}

AttemptResult runAttempt(Frontend &frontend,
                         const Grant &grant,
                         const Protocol::LiveRequest &request,
                         Core::Instant deadline,
                         const std::function<bool()> &isDisconnected,
                         Core::ByteReservation &answerMemory)
{
    AttemptResult result;
    LiveAttempt live(*frontend.m_node, grant.m_granted.m_member.m_wire, request, deadline, frontend.m_answerMemory);
    bool tooLarge = false;
    bool lacksMemory = false;
    const std::size_t limit = frontend.m_settings->m_callers.m_maximumAnswerBytes;
    result.m_outcome = live.run(
        [&result, &tooLarge, &lacksMemory, &answerMemory, limit](const Protocol::AnswerFrame &frame) {
            std::string &body = result.m_answer.m_body;
            const std::size_t size = body.size() + frame.m_data.size();
            tooLarge = size > limit;
            lacksMemory = !tooLarge && !reserveBody(body, size, answerMemory);
            if (tooLarge || lacksMemory) {
                return false;
            }
            result.m_answer.m_status = frame.m_status;
            body += frame.m_data;
            return true;
        },
        isDisconnected);
    if (tooLarge) {
        result.m_outcome.m_end = AttemptEnd::Unknown;
        result.m_outcome.m_error = Core::makeError(Core::ErrorCode::Corrupt, "read answer", grant.m_granted.m_member.m_id, "the answer is too large");
    }
    if (lacksMemory) {
        result.m_outcome.m_end = AttemptEnd::Unknown;
        result.m_outcome.m_error = answerMemoryError(grant.m_granted.m_member.m_id);
    }
    if (isForWantOfMemory(result.m_outcome)) {
        recordMemoryShortage(frontend, MemoryUse::Answer, result.m_outcome.m_error);
    }
    frontend.m_router->release(grant, callResult(result.m_outcome));
    return result;
}

CallerError notRunError(const Core::Error &error)
{
    return CallerError{CallerCode::NotRun, error, DefaultRetryAfter, {}};
}

ServiceResult callRepeatable(Frontend &frontend,
                             const CallRequest &request,
                             Routing::Submission submission,
                             const std::function<bool()> &isDisconnected,
                             Core::ByteReservation &answerMemory)
{
    const Core::Instant deadline = submission.m_request.m_deadline;
    bool mayHaveRun = false;
    Core::Error lastError;
    while (true) {
        const std::variant<Grant, CallerError> acquired = frontend.m_router->acquire(submission, isDisconnected);
        if (const CallerError *refused = std::get_if<CallerError>(&acquired)) {
            return mayHaveRun ? CallerError{CallerCode::OutcomeUnknown, lastError, std::nullopt, {}} : *refused;
        }
        const Grant &grant = std::get<Grant>(acquired);
        const Protocol::LiveRequest live = makeLiveRequest(request, grant.m_granted, Core::randomIdentifier());
        const AttemptResult result = runAttempt(frontend, grant, live, deadline, isDisconnected, answerMemory);
        if (result.m_outcome.m_end == AttemptEnd::Complete) {
            return result.m_answer;
        }
        lastError = result.m_outcome.m_error;
        mayHaveRun = mayHaveRun || result.m_outcome.m_end != AttemptEnd::NotRun;
        submission.m_excluded.push_back(grant.m_granted.m_member.m_id);
        const bool deadlinePassed = Core::Clock::now() >= deadline;
        if (isForWantOfMemory(result.m_outcome)) {
            return CallerError{CallerCode::OutcomeUnknown, lastError, AnswerMemoryRetryAfter, {}};
        }
        const bool cannotSucceed = lastError.m_code == Core::ErrorCode::InvalidInput || result.m_outcome.m_end == AttemptEnd::CallerGone;
        if (!deadlinePassed && !cannotSucceed && submission.m_excluded.size() < MaximumAttempts && frontend.m_router->tryRetry()) {
            continue;
        }
        if (lastError.m_code == Core::ErrorCode::InvalidInput) {
            return CallerError{CallerCode::InvalidInput, lastError, std::nullopt, {}};
        }
        if (deadlinePassed || lastError.m_code == Core::ErrorCode::Timeout) {
            return CallerError{CallerCode::Timeout, lastError, std::nullopt, {}};
        }
        return mayHaveRun ? CallerError{CallerCode::OutcomeUnknown, lastError, std::nullopt, {}} : notRunError(lastError);
    }
}

/// Performs the actions of the call state machine for one keyed call.
class KeyedCall
{
public:
    KeyedCall(Frontend &frontend,
              const CallRequest &request,
              Routing::Submission submission,
              std::function<bool()> isDisconnected,
              Core::ByteReservation &answerMemory)
        : m_frontend(frontend)
        , m_request(request)
        , m_key(Claims::scopedKey(*request.m_key, request.m_account, request.m_service))
        , m_submission(std::move(submission))
        , m_deadline(m_submission.m_request.m_deadline)
        , m_isDisconnected(std::move(isDisconnected))
        , m_answerMemory(answerMemory)
    {
    }

    ServiceResult run()
    {
        const std::variant<Grant, CallerError> acquired = m_frontend.m_router->acquire(m_submission, m_isDisconnected);
        if (const CallerError *refused = std::get_if<CallerError>(&acquired)) {
            return *refused;
        }
        m_grant = std::get<Grant>(acquired);
        Claims::Step step = Claims::beginCall(Core::randomIdentifier());
        while (!std::holds_alternative<Claims::ReportVerdict>(step.m_action)) {
            const Claims::Event event = std::visit([this](const auto &action) { return perform(action); }, step.m_action);
            step = Claims::advanceCall(step.m_state, event, Core::randomIdentifier());
        }
        if (m_grant) {
            // The endpoint was not used, because another attempt holds the key or the claim failed.
            m_frontend.m_router->release(*m_grant, Routing::CallResult::Abandoned);
        }
        return makeResult(std::get<Claims::ReportVerdict>(step.m_action).m_verdict);
    }

private:
    Claims::Event perform(const Claims::WriteClaim &action)
    {
        const Routing::Granted &granted = grantedEndpoint();
        Claims::Claim claim;
        claim.m_key = m_key;
        claim.m_attempt = action.m_attempt;
        claim.m_entry = m_frontend.m_settings->m_instance.m_member.m_id;
        claim.m_agent = granted.m_member.m_id;
        claim.m_agentIncarnation = granted.m_member.m_incarnation;
        claim.m_agentReport = granted.m_reportSequence;
        claim.m_agentWire = granted.m_member.m_wire;
        const Core::Result<Claims::ClaimAnswer> answer = m_frontend.m_claims->write(m_key.m_text, Claims::ClaimRequest{{}, {claim}}, m_deadline);
        if (!answer || answer.value().m_results.size() != 1) {
            m_error = answer ? Core::makeError(Core::ErrorCode::Corrupt, "claim key", "", "no result") : answer.error();
            return Claims::ClaimFailed{};
        }
        if (Core::Clock::now() >= m_deadline) {
            m_error = Core::makeError(Core::ErrorCode::Timeout, "claim key", "", "the time was over before the call could be sent");
            return Claims::DeadlinePassed{};
        }
        return Claims::ClaimDecided{answer.value().m_results.front()};
    }

    Claims::Event perform(const Claims::Dispatch &action)
    {
        const Grant grant = *m_grant;
        m_dispatchedTo = grant.m_granted;
        m_grant.reset();
        const Protocol::LiveRequest live = makeLiveRequest(m_request, grant.m_granted, action.m_attempt);
        // A caller that disconnects does not end the call, so that the outcome is available when the caller retries with the key.
        const AttemptResult result = runAttempt(
            m_frontend, grant, live, m_deadline, [] { return false; }, m_answerMemory);
        m_error = result.m_outcome.m_error;
        switch (result.m_outcome.m_end) {
        case AttemptEnd::Complete:
            m_answer = result.m_answer;
            return Claims::CompleteAnswer{};
        case AttemptEnd::NotRun:
            return Claims::AttemptNotRun{};
        case AttemptEnd::Unknown:
        case AttemptEnd::CallerGone:
            break;
        }
        return Claims::AnswerIncomplete{};
    }

    Claims::Event perform(const Claims::QueryOutcome &action)
    {
        const bool deadlinePassed = remainingTime(m_deadline) <= Core::Duration(0);
        if (action.m_isDelayed && deadlinePassed) {
            m_error = Core::makeError(Core::ErrorCode::Timeout, "ask outcome", "", "it was still running when the time was over");
            return Claims::DeadlinePassed{};
        }
        if (action.m_isDelayed) {
            std::this_thread::sleep_for(OutcomePollInterval);
        }
        const OutcomeQuery query = action.m_isOwn ? ownOutcomeQuery(action) : holderOutcomeQuery(action);
        for (int attempt = 0; attempt < MaximumOutcomeQueries; ++attempt) {
            const Core::Result<Protocol::OutcomeAnswer> answer = queryOutcome(*m_frontend.m_node, query, OutcomeTimeout);
            if (answer && !m_answerMemory.tryResize(answer.value().m_body.capacity())) {
                m_error = answerMemoryError(query.m_agent.toString());
                recordMemoryShortage(m_frontend, MemoryUse::Answer, m_error);
                return Claims::OutcomeUnavailable{};
            }
            if (answer) {
                m_answer = ServiceAnswer{answer.value().m_status, answer.value().m_body};
                return Claims::OutcomeReceived{answer.value().m_outcome};
            }
            m_error = answer.error();
        }
        return Claims::OutcomeUnavailable{};
    }

    Claims::Event perform(const Claims::WriteTombstone &action)
    {
        const Claims::AttemptTombstone tombstone{m_key.m_text, action.m_attempt};
        const Core::Result<Claims::ClaimAnswer> answer = m_frontend.m_claims->write(m_key.m_text, Claims::ClaimRequest{{tombstone}, {}}, m_deadline);
        if (answer) {
            return Claims::TombstoneWritten{};
        }
        m_error = answer.error();
        return Claims::TombstoneFailed{};
    }

    Claims::Event perform(const Claims::ReportVerdict &)
    {
        return Claims::DeadlinePassed{};
    }

    const Routing::Granted &grantedEndpoint() const
    {
        return m_grant->m_granted;
    }

    OutcomeQuery ownOutcomeQuery(const Claims::QueryOutcome &action) const
    {
        const Protocol::OutcomeRequest request{action.m_attempt, m_key.m_text, m_dispatchedTo.m_member.m_incarnation, m_dispatchedTo.m_reportSequence};
        return OutcomeQuery{m_dispatchedTo.m_member.m_wire, request};
    }

    OutcomeQuery holderOutcomeQuery(const Claims::QueryOutcome &action) const
    {
        const Claims::Claim &holder = action.m_holder;
        return OutcomeQuery{holder.m_agentWire, Protocol::OutcomeRequest{action.m_attempt, m_key.m_text, holder.m_agentIncarnation, holder.m_agentReport}};
    }

    ServiceResult makeResult(Claims::CallVerdict verdict) const
    {
        switch (verdict) {
        case Claims::CallVerdict::Answered:
            return m_answer;
        case Claims::CallVerdict::NotRun:
            return notRunError(m_error);
        case Claims::CallVerdict::KeyUsed:
            return CallerError{CallerCode::KeyUsed, m_error, std::nullopt, {}};
        case Claims::CallVerdict::KeyExpired:
            return CallerError{
                CallerCode::KeyExpired, Core::makeError(Core::ErrorCode::Conflict, "claim key", "", "older than the claims kept"), std::nullopt, {}};
        case Claims::CallVerdict::OutcomeUnknown:
            break;
        }
        return CallerError{CallerCode::OutcomeUnknown, m_error, std::nullopt, {}};
    }

    Frontend &m_frontend;
    const CallRequest &m_request;
    const Claims::ClaimKey m_key;
    const Routing::Submission m_submission;
    const Core::Instant m_deadline;
    const std::function<bool()> m_isDisconnected;
    Core::ByteReservation &m_answerMemory;
    std::optional<Grant> m_grant; ///< Held until the dispatch uses it or the call ends without a dispatch.
    Routing::Granted m_dispatchedTo; ///< Endpoint to which the call's own attempt was dispatched.
    ServiceAnswer m_answer;
    Core::Error m_error;
};

}

ServiceResult callService(
    Frontend &frontend, const CallRequest &request, Core::Instant deadline, const std::function<bool()> &isDisconnected, Core::ByteReservation &answerMemory)
{
    const Core::ByteBudget &memory = *frontend.m_answerMemory;
    if (static_cast<double>(memory.held()) > AnswerMemoryShareForNewCalls * static_cast<double>(memory.limit())) {
        const Core::Error error = answerMemoryError("");
        recordMemoryShortage(frontend, MemoryUse::Answer, error);
        return CallerError{CallerCode::NotRun, error, AnswerMemoryRetryAfter, {}};
    }
    const Core::Result<std::uint32_t> weight = accountWeight(*frontend.m_store->current(), request);
    if (!weight) {
        return CallerError{CallerCode::NotFound, weight.error(), std::nullopt, {}};
    }
    Routing::Submission submission = makeSubmission(request, weight.value(), deadline);
    if (!request.m_key) {
        return callRepeatable(frontend, request, std::move(submission), isDisconnected, answerMemory);
    }
    return KeyedCall(frontend, request, std::move(submission), isDisconnected, answerMemory).run();
}

}
