/// @file Execution of a generate request.

#include "LibEntry/Generation.h"

#include <Poco/JSON/Object.h>

namespace Entry {

namespace {

constexpr std::size_t MaximumAttempts = 3;
constexpr Core::Duration DefaultRetryAfter{1000};

/// Runs the attempts at one request.
class Generation
{
public:
    Generation(Frontend &frontend, const GenerateRequest &request, Core::Instant deadline, AnswerSink &sink)
        : m_frontend(frontend)
        , m_request(request)
        , m_deadline(deadline)
        , m_sink(sink)
    {
    }

    std::optional<CallerError> run()
    {
        while (true) {
            const Core::Result<ServedVersion> served = m_frontend.m_versions->selectVersion(m_request.m_template, m_request.m_account);
            if (!served) {
                return CallerError{CallerCode::NotFound, served.error(), std::nullopt, {}};
            }
            if (served.value().m_digest.empty()) {
                const Core::Error error = Core::makeError(Core::ErrorCode::Unavailable, "route request", m_request.m_template, "no whole version serves yet");
                return CallerError{CallerCode::NotRun, error, DefaultRetryAfter, {}};
            }
            const std::variant<Grant, CallerError> acquired =
                m_frontend.m_router->acquire(submission(served.value()), [this] { return m_sink.isDisconnected(); });
            if (const CallerError *refused = std::get_if<CallerError>(&acquired)) {
                return m_mayHaveRun ? makeCallerError(m_lastError) : *refused;
            }
            const AttemptOutcome outcome = attempt(served.value(), std::get<Grant>(acquired));
            if (outcome.m_end == AttemptEnd::Complete || outcome.m_end == AttemptEnd::CallerGone) {
                return std::nullopt;
            }
            m_lastError = outcome.m_error;
            m_mayHaveRun = m_mayHaveRun || outcome.m_end == AttemptEnd::Unknown;
            if (!mayRetry(outcome)) {
                return makeCallerError(outcome.m_error);
            }
        }
    }

private:
    Routing::Submission submission(const ServedVersion &version) const
    {
        Routing::Submission submission;
        submission.m_request.m_account = m_request.m_account;
        submission.m_request.m_weight = version.m_weight;
        submission.m_request.m_priority = m_request.m_priority;
        submission.m_request.m_cost = m_request.m_maximumTokens;
        submission.m_request.m_deadline = m_deadline;
        submission.m_group = Routing::GroupKey{version.m_service, version.m_digest};
        submission.m_affinity = Routing::affinityHash(m_request.m_account, m_request.m_prompt);
        submission.m_excluded = m_triedInstances;
        return submission;
    }

    Protocol::LiveRequest liveRequest(const ServedVersion &version, const Routing::Granted &granted) const
    {
        Poco::JSON::Object body;
        body.set("prompt", m_request.m_prompt);
        body.set("max_tokens", m_request.m_maximumTokens);
        std::ostringstream text;
        body.stringify(text);
        Protocol::LiveRequest request;
        request.m_attempt = Core::randomIdentifier();
        request.m_account = m_request.m_account;
        request.m_service = version.m_service;
        request.m_digest = version.m_digest;
        request.m_priority = m_request.m_priority;
        request.m_body = text.str();
        request.m_agentIncarnation = granted.m_member.m_incarnation;
        request.m_agentReport = granted.m_reportSequence;
        return request;
    }

    AttemptOutcome attempt(const ServedVersion &version, const Grant &grant)
    {
        const Routing::Granted &granted = grant.m_granted;
        m_triedInstances.push_back(granted.m_member.m_id);
        LiveAttempt live(*m_frontend.m_node, granted.m_member.m_wire, liveRequest(version, granted), m_deadline, m_frontend.m_answerMemory);
        const AttemptOutcome outcome = live.run([this, &version](const Protocol::AnswerFrame &frame) { return onFrame(version, frame); },
                                                [this] { return !m_sink.flush() || m_sink.isDisconnected(); });
        m_frontend.m_router->release(grant, callResult(outcome));
        if (isForWantOfMemory(outcome)) {
            recordMemoryShortage(m_frontend, MemoryUse::Answer, outcome.m_error);
        }
        return outcome;
    }

    /// Maps the outcome for the scheduler. A full engine, a rejected request or a timeout does not count as a failure of the endpoint.
    static Routing::CallResult callResult(const AttemptOutcome &outcome)
    {
        switch (outcome.m_end) {
        case AttemptEnd::Complete:
            return Routing::CallResult::Answered;
        case AttemptEnd::CallerGone:
            return Routing::CallResult::Abandoned;
        case AttemptEnd::NotRun:
        case AttemptEnd::Unknown:
            break;
        }
        const Core::ErrorCode code = outcome.m_error.m_code;
        const bool harmless = code == Core::ErrorCode::Overloaded || code == Core::ErrorCode::InvalidInput || code == Core::ErrorCode::Timeout;
        return harmless ? Routing::CallResult::Abandoned : Routing::CallResult::Failed;
    }

    bool onFrame(const ServedVersion &version, const Protocol::AnswerFrame &frame)
    {
        if (!m_answerStarted) {
            m_answerStarted = true;
            if (!m_sink.onVersion(version)) {
                return false;
            }
        }
        if (frame.m_kind == Protocol::AnswerKind::End) {
            return m_sink.onEnd(m_tokens, frame.m_totalDigest);
        }
        m_tokens += 1;
        return m_sink.onToken(frame.m_data);
    }

    /// A request is retried only before any of the answer was sent, since another attempt may generate a different text.
    bool mayRetry(const AttemptOutcome &outcome)
    {
        const bool cannotSucceed = outcome.m_error.m_code == Core::ErrorCode::InvalidInput || Core::Clock::now() >= m_deadline;
        if (m_answerStarted || cannotSucceed || m_triedInstances.size() >= MaximumAttempts) {
            return false;
        }
        return m_frontend.m_router->tryRetry();
    }

    CallerError makeCallerError(const Core::Error &error) const
    {
        if (Core::Clock::now() >= m_deadline || error.m_code == Core::ErrorCode::Timeout) {
            return CallerError{CallerCode::Timeout, error, std::nullopt, {}};
        }
        if (error.m_code == Core::ErrorCode::InvalidInput) {
            return CallerError{CallerCode::InvalidInput, error, std::nullopt, {}};
        }
        if (m_mayHaveRun) {
            return CallerError{CallerCode::OutcomeUnknown, error, std::nullopt, {}};
        }
        return CallerError{CallerCode::NotRun, error, DefaultRetryAfter, {}};
    }

    Frontend &m_frontend;
    const GenerateRequest &m_request;
    const Core::Instant m_deadline;
    AnswerSink &m_sink;
    std::vector<std::string> m_triedInstances; ///< Instances of the attempts so far.
    Core::Error m_lastError;
    bool m_mayHaveRun = false; ///< The outcome of an attempt is unknown, so the request must not end as "not run".
    bool m_answerStarted = false; ///< Part of the answer was sent to the caller.
    std::uint64_t m_tokens = 0;
};

}

std::optional<CallerError> generate(Frontend &frontend, const GenerateRequest &request, Core::Instant deadline, AnswerSink &sink)
{
    return Generation(frontend, request, deadline, sink).run();
}

}
