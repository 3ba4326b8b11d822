/// @file The part of a relayed request's implementation that keeps its further arrivals at endpoints within the budget of its service.
///
/// A retry is reserved when it is decided on, and spent when it is sent: a request may wait in between, and arrivals are what the budget limits.

#include "LibRelay/RelayedRequest.h"
#include "LibRelay/RetryBudgetLine.h"

namespace Relay {

RetryObstacle RelayedRequest::attemptObstacle(bool mayHaveRun)
{
    if (mayHaveRun && !m_route->isRepeatable()) {
        return RetryObstacle::MayHaveRun;
    }
    const Quarantine::PartQuarantine &quarantine = m_relay.m_parts.m_quarantine;
    if (m_lostEndpoints > 0 && quarantine.hasTooManyEnds(identity())) {
        return RetryObstacle::EndsEndpoints;
    }
    if (m_lostEndpoints >= m_relay.m_settings.m_maximumLostEndpoints && !quarantine.areAcquitted(m_promptParts)) {
        return RetryObstacle::EndsEndpoints;
    }
    return m_attempts < m_route->m_maximumAttempts ? RetryObstacle::None : RetryObstacle::NoAttemptLeft;
}

bool RelayedRequest::hasAttemptLeft(bool mayHaveRun)
{
    return attemptObstacle(mayHaveRun) == RetryObstacle::None;
}

bool RelayedRequest::mayRetry(bool mayHaveRun)
{
    m_retryObstacle = attemptObstacle(mayHaveRun);
    if (m_retryObstacle != RetryObstacle::None) {
        return false;
    }
    if (m_isHeadForwarded && timeLeft() < m_relay.m_settings.m_minimumTimeLeft) {
        m_retryObstacle = RetryObstacle::NoTimeLeft;
    } else if (!mayRepeat(callerWait())) {
        m_retryObstacle = RetryObstacle::CallerLeaves;
    } else if (!reserveRetry()) {
        m_retryObstacle = RetryObstacle::NoBudget;
    }
    return m_retryObstacle == RetryObstacle::None;
}

bool RelayedRequest::reserveRetry()
{
    if (m_isRetryPaid || m_retryGrant != Placement::RetryGrant::None) {
        return true;
    }
    Placement::RetryBudgets &budgets = m_relay.m_parts.m_retryBudgets;
    const Core::Instant now = Core::Clock::now();
    m_retryGrant = budgets.tryReserve(m_service->m_name, isFirstRetry(), m_retryLot, now);
    m_relay.m_counters.m_retryGrants.at(static_cast<std::size_t>(m_retryGrant))->add();
    Telemetry::LogLine line = retryBudgetLine("retry", budgets.describe(m_service->m_name, now));
    m_relay.m_parts.m_log.write(line.text("id", m_facts.m_attemptId).text("grant", Placement::retryGrantName(m_retryGrant)));
    return m_retryGrant != Placement::RetryGrant::None;
}

bool RelayedRequest::isRetryInBudget()
{
    const bool isReserved = m_isRetryPaid || m_retryGrant != Placement::RetryGrant::None;
    const Core::Instant now = Core::Clock::now();
    return isReserved || m_relay.m_parts.m_retryBudgets.decide(m_service->m_name, isFirstRetry(), m_retryLot, now) != Placement::RetryGrant::None;
}

bool RelayedRequest::spendRetry()
{
    if (!reserveRetry()) {
        return false;
    }
    if (!m_isRetryPaid) {
        m_relay.m_parts.m_retryBudgets.spend(m_service->m_name, m_retryGrant, Core::Clock::now());
        m_retryGrant = Placement::RetryGrant::None;
        m_isRetryPaid = true;
    }
    return true;
}

void RelayedRequest::releaseRetry()
{
    if (m_retryGrant != Placement::RetryGrant::None) {
        m_relay.m_parts.m_retryBudgets.release(m_service->m_name, m_retryGrant);
        m_retryGrant = Placement::RetryGrant::None;
    }
}

}
