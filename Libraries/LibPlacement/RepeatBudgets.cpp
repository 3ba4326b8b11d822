/// @file Implementation of the budgets for repeats.

#include "LibPlacement/RepeatBudgets.h"

#include <algorithm>

namespace Placement {

RepeatBudgets::RepeatBudgets(RepeatBudgetSettings settings)
    : m_settings(settings)
{
}

void RepeatBudgets::setSharers(std::size_t sharers)
{
    const std::size_t next = std::max<std::size_t>(sharers, 1);
    if (next > m_sharers) {
        // Parts that were handed out for fewer sharers would add up to more than the whole.
        m_budgets.clear();
    }
    m_sharers = next;
}

Routing::RetryBudget &RepeatBudgets::budget(const std::string &service)
{
    const std::map<std::string, Routing::RetryBudget>::iterator known = m_budgets.find(service);
    if (known != m_budgets.end()) {
        return known->second;
    }
    const double burst = std::max(1.0, m_settings.m_slack * m_settings.m_safety / static_cast<double>(m_sharers));
    return m_budgets.emplace(service, Routing::RetryBudget(m_settings.m_share * m_settings.m_safety, burst)).first->second;
}

void RepeatBudgets::onRequest(const std::string &service)
{
    budget(service).onRequest();
}

bool RepeatBudgets::tryRepeat(const std::string &service)
{
    return budget(service).tryRetry();
}

}
