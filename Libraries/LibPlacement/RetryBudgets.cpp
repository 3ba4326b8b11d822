/// @file Implementation of the retry budgets.

#include "LibPlacement/RetryBudgets.h"

#include <algorithm>

namespace Placement {

RetryBudgets::RetryBudgets(RetryBudgetSettings settings)
    : m_settings(settings)
{
}

double RetryBudgets::burst() const
{
    return std::max(1.0, m_settings.m_burst * m_settings.m_safetyFactor / static_cast<double>(m_processCount));
}

void RetryBudgets::setProcessCount(std::size_t sharers)
{
    m_processCount = std::max<std::size_t>(sharers, 1);
    for (std::pair<const std::string, Routing::RetryBudget> &entry : m_budgets) {
        // Keeps the used part of the budget: refilling the buckets at each change would allow unlimited retries while processes join and leave.
        entry.second.limitBurst(burst());
    }
}

Routing::RetryBudget &RetryBudgets::budget(const std::string &service)
{
    const std::map<std::string, Routing::RetryBudget>::iterator known = m_budgets.find(service);
    if (known != m_budgets.end()) {
        return known->second;
    }
    return m_budgets.emplace(service, Routing::RetryBudget(m_settings.m_retriesPerRequest * m_settings.m_safetyFactor, burst())).first->second;
}

void RetryBudgets::onRequest(const std::string &service)
{
    budget(service).onRequest();
}

bool RetryBudgets::hasRetry(const std::string &service)
{
    return budget(service).hasRetry();
}

bool RetryBudgets::tryRetry(const std::string &service, Core::Instant now)
{
    const bool isGranted = budget(service).tryRetry();
    if (isGranted) {
        m_spentAt[service].push_back(now);
    }
    return isGranted;
}

RetryBudgetState RetryBudgets::describe(const std::string &service, Core::Instant now)
{
    std::deque<Core::Instant> &spentAt = m_spentAt[service];
    while (!spentAt.empty() && now - spentAt.front() >= m_settings.m_window) {
        spentAt.pop_front();
    }
    return RetryBudgetState{service, m_processCount, burst(), budget(service).available(), spentAt.size()};
}

std::vector<RetryBudgetState> RetryBudgets::describeAll(Core::Instant now)
{
    std::vector<RetryBudgetState> states;
    for (const std::pair<const std::string, Routing::RetryBudget> &known : m_budgets) {
        states.push_back(describe(known.first, now));
    }
    return states;
}

}
