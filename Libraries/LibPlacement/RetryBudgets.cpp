/// @file Implementation of the retry budgets.

#include "LibPlacement/RetryBudgets.h"

namespace Placement {

RetryBudgets::RetryBudgets(std::string self, RetryBudgetSettings settings, Core::Instant startedAt)
    : m_settings(settings)
    , m_startedAt(startedAt)
    , m_sharers{std::move(self), {}, 0, false}
{
}

bool RetryBudgets::setSharers(RetrySharers sharers)
{
    if (sharers == m_sharers) {
        return false;
    }
    m_sharers = std::move(sharers);
    for (std::pair<const std::string, ServiceBudget> &known : m_budgets) {
        known.second.m_heldSlack = heldSlack(known.first, m_sharers, m_settings);
    }
    return true;
}

RetryShare RetryBudgets::shareOf(const ServiceBudget &budget) const
{
    return retryShare(budget.m_heldSlack, budget.m_account.m_requestedAt.size(), m_settings);
}

bool RetryBudgets::mayUseSlack(Core::Instant now) const
{
    return Placement::mayUseSlack(std::chrono::duration_cast<Core::Duration>(now - m_startedAt), m_settings);
}

RetryBudgets::ServiceBudget &RetryBudgets::updatedBudget(const std::string &service, Core::Instant now)
{
    std::map<std::string, ServiceBudget>::iterator known = m_budgets.find(service);
    if (known == m_budgets.end()) {
        known = m_budgets.emplace(service, ServiceBudget{heldSlack(service, m_sharers, m_settings), {}}).first;
    }
    updateAccount(known->second.m_account, shareOf(known->second), m_settings, now);
    return known->second;
}

void RetryBudgets::recordRequest(const std::string &service, Core::Instant now)
{
    ServiceBudget &budget = updatedBudget(service, now);
    Placement::recordRequest(budget.m_account, shareOf(budget), now);
}

RetryGrant RetryBudgets::decide(const std::string &service, bool isFirst, double lot, Core::Instant now)
{
    const ServiceBudget &budget = updatedBudget(service, now);
    return decideRetry(budget.m_account, shareOf(budget), RetryQuestion{isFirst, lot, mayUseSlack(now)});
}

RetryGrant RetryBudgets::tryReserve(const std::string &service, bool isFirst, double lot, Core::Instant now)
{
    const RetryGrant grant = decide(service, isFirst, lot, now);
    Placement::reserve(m_budgets.at(service).m_account, grant);
    return grant;
}

void RetryBudgets::spend(const std::string &service, RetryGrant grant, Core::Instant now)
{
    Placement::spend(updatedBudget(service, now).m_account, grant, now);
}

void RetryBudgets::release(const std::string &service, RetryGrant grant)
{
    Placement::release(m_budgets.at(service).m_account, grant);
}

RetryBudgetState RetryBudgets::describe(const std::string &service, Core::Instant now)
{
    const ServiceBudget &budget = updatedBudget(service, now);
    RetryBudgetState state;
    state.m_service = service;
    state.m_entries = m_sharers.count();
    state.m_areEntriesKnown = m_sharers.m_areKnown;
    state.m_mayUseSlack = mayUseSlack(now);
    state.m_share = shareOf(budget);
    state.m_tokens = budget.m_account.m_tokens;
    state.m_spent = budget.m_account.m_spentAt.size();
    state.m_slackSpent = budget.m_account.m_slackSpentAt.size();
    return state;
}

std::vector<RetryBudgetState> RetryBudgets::describeAll(Core::Instant now)
{
    std::vector<RetryBudgetState> states;
    for (const std::pair<const std::string, ServiceBudget> &known : m_budgets) {
        states.push_back(describe(known.first, now));
    }
    return states;
}

}
