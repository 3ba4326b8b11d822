/// @file The part of a relayed request's implementation that concerns the end of the process.
///
/// A process that is leaving begins a request only if it will end before the process does. Any other request is refused at once, so that its caller can use the
/// time that it has left at another entry.

#include "LibRelay/RelayedRequest.h"
#include "LibRelay/StatusCodes.h"

#include <algorithm>
#include <cmath>

namespace Relay {

namespace {

constexpr Core::Duration NoDelay{0}; ///< Other entries serve the caller at once.
constexpr const char *LeavingReason = "this process is leaving, and the request would not end in time";

}

std::string RelayedRequest::answerTimeKey() const
{
    return m_route->m_name + " " + m_service->m_name;
}

Core::Duration RelayedRequest::expectedAnswerTime() const
{
    const Fleet::EngineModel &engine = m_service->m_engine;
    if (engine.m_slots == 0) {
        return Core::Duration(0);
    }
    const Placement::RequestSize size{m_facts.m_promptTokens, m_facts.m_answerTokens};
    const double first = Placement::firstEventMilliseconds(engine, Placement::EndpointLoad{engine.m_slots - 1}, size);
    return Core::Duration(static_cast<std::int64_t>(std::ceil(first + Placement::longestAnswerMilliseconds(engine, size))));
}

std::optional<LeavingView> RelayedRequest::leavingView() const
{
    if (!m_relay.m_endsAt) {
        return std::nullopt;
    }
    const Core::Instant now = Core::Clock::now();
    LeavingView view;
    view.m_untilProcessEnds = std::chrono::duration_cast<Core::Duration>(*m_relay.m_endsAt - now);
    view.m_untilDeadline = timeLeft();
    view.m_answerTime = m_relay.m_answerTimes.upperBound(answerTimeKey(), expectedAnswerTime(), now);
    if (view.m_answerTime && m_isHeadForwarded && m_lastEventAt) {
        // Only the rest of the stream is still to come.
        const Core::Duration passed = std::chrono::duration_cast<Core::Duration>(*m_lastEventAt - m_firstSentAt.value_or(*m_lastEventAt));
        view.m_answerTime = std::max(MinimumAttemptTime, *view.m_answerTime - passed);
    }
    return view;
}

bool RelayedRequest::canEndInTime() const
{
    const std::optional<LeavingView> view = leavingView();
    return !view || endsInTime(*view);
}

void RelayedRequest::endForLeaving()
{
    m_relay.m_counters.m_refusedLeaving.add();
    m_retryObstacle = m_lastFailure.empty() ? RetryObstacle::None : RetryObstacle::ProcessLeaves;
    endUnsent(std::string(LeavingReason) + (m_lastFailure.empty() ? "" : ", after: " + m_lastFailure), NoDelay);
}

void RelayedRequest::recordAnswerTime()
{
    if (m_firstSentAt) {
        const Core::Instant now = Core::Clock::now();
        const Core::Duration taken = std::chrono::ceil<Core::Duration>(now - *m_firstSentAt);
        m_relay.m_answerTimes.record(answerTimeKey(), expectedAnswerTime(), taken, now);
    }
}

void RelayedRequest::onLeaving()
{
    if (m_isFinished || m_attempt) {
        return;
    }
    if (!m_configuration) {
        m_relay.m_counters.m_refusedLeaving.add();
        refuse("this process is leaving and knows no configuration", NoDelay);
        return;
    }
    if (!isWaiting()) {
        return; // It is held, and decided on with the next check.
    }
    // Its deadlines in the queue did not take the end of the process into account.
    stopWaiting();
    if (!canEndInTime() || !enqueue()) {
        endForLeaving();
    }
}

void RelayedRequest::endWithProcess()
{
    if (m_isFinished) {
        return;
    }
    m_relay.m_counters.m_openAtEnd.add();
    const std::string reason = "the process ends";
    m_mayHaveRun = m_mayHaveRun || m_attempt.has_value();
    stopWaiting();
    if (m_isHeadForwarded) {
        m_connection->abort();
        finish(RequestOutcome::Failed, 0, reason);
    } else if (m_mayHaveRun) {
        fail(GatewayTimeout, reason);
    } else {
        refuse(reason, NoDelay);
    }
    endAttempt();
}

}
