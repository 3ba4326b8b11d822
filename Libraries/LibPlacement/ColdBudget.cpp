/// @file Implementation of the budget for cold endpoints.

#include "LibPlacement/ColdBudget.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// Returns how many of the others come before @p self.
std::size_t rankAmong(
    const Fleet::Endpoint &endpoint, const LimitHolder &self, const std::vector<LimitHolder> &others, HolderOrder order, const ColdBudgetSettings &settings)
{
    if (order == HolderOrder::NearestFirst) {
        return holderRank(endpoint, self, others);
    }
    const bool isNewcomer = newcomerAllowance(endpoint, self, settings) > 0;
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(), [&](const LimitHolder &other) {
        const bool isOtherNewcomer = newcomerAllowance(endpoint, other, settings) > 0;
        return isOtherNewcomer == isNewcomer ? ranksBefore(other, self, endpoint) : isOtherNewcomer;
    }));
}

}

std::size_t coldAllowance(const Fleet::Endpoint &endpoint,
                          double perSecond,
                          const LimitHolder &self,
                          const std::vector<LimitHolder> &others,
                          HolderOrder order,
                          const ColdBudgetSettings &settings)
{
    const double budget = (perSecond * settings.m_excess + settings.m_slack) * settings.m_usedShare;
    const std::size_t requests = static_cast<std::size_t>(std::max(1.0, std::floor(budget))); // Of no request at all an endpoint would not become warm.
    const std::size_t entries = others.size() + 1;
    if (requests >= entries) {
        return requests / entries;
    }
    return rankAmong(endpoint, self, others, order, settings) < requests ? 1 : 0;
}

std::size_t newcomerAllowance(const Fleet::Endpoint &endpoint, const LimitHolder &self, const ColdBudgetSettings &settings)
{
    constexpr double weights = 1000;
    const double weight = static_cast<double>(Core::rendezvousWeight(endpoint.m_id, self.m_id) % static_cast<std::uint64_t>(weights));
    return weight < settings.m_newcomerShare * weights ? 1 : 0;
}

ColdBudget::ColdBudget(LimitHolder self, ColdBudgetSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void ColdBudget::setEntries(std::vector<LimitHolder> others, bool isComplete)
{
    m_others = std::move(others);
    m_isComplete = isComplete;
}

void ColdBudget::recordCold(const Fleet::Endpoint &endpoint, double perSecond, Core::Duration duration, Core::Instant now)
{
    Cold &cold = m_cold[endpoint.m_id];
    if (cold.m_startedMilliseconds != endpoint.m_startedMilliseconds) {
        cold = Cold{};
        cold.m_startedMilliseconds = endpoint.m_startedMilliseconds;
        cold.m_order = m_isComplete ? HolderOrder::NearestFirst : HolderOrder::NewcomersFirst;
    }
    cold.m_perSecond = perSecond;
    cold.m_until = std::max(cold.m_until, now + duration);
}

void ColdBudget::recordWarm(const Fleet::Endpoint &endpoint)
{
    m_cold.erase(endpoint.m_id);
}

const ColdBudget::Cold *ColdBudget::find(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    const std::map<std::string, Cold>::const_iterator found = m_cold.find(endpoint.m_id);
    const bool isCold = found != m_cold.end() && found->second.m_startedMilliseconds == endpoint.m_startedMilliseconds && now < found->second.m_until;
    return isCold ? &found->second : nullptr;
}

bool ColdBudget::isCold(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    return find(endpoint, now) != nullptr;
}

bool ColdBudget::maySend(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    const Cold *cold = find(endpoint, now);
    if (!cold) {
        return true;
    }
    const std::ptrdiff_t recent =
        std::count_if(cold->m_sentAt.begin(), cold->m_sentAt.end(), [this, now](Core::Instant sentAt) { return now - sentAt < m_settings.m_window; });
    const std::size_t allowance = m_isComplete ? coldAllowance(endpoint, cold->m_perSecond, m_self, m_others, cold->m_order, m_settings)
                                               : newcomerAllowance(endpoint, m_self, m_settings);
    return static_cast<std::size_t>(recent) < allowance;
}

void ColdBudget::recordSent(const Fleet::Endpoint &endpoint, Core::Instant now)
{
    const std::map<std::string, Cold>::iterator found = m_cold.find(endpoint.m_id);
    if (found == m_cold.end()) {
        return;
    }
    std::deque<Core::Instant> &sentAt = found->second.m_sentAt;
    while (!sentAt.empty() && now - sentAt.front() >= m_settings.m_window) {
        sentAt.pop_front();
    }
    sentAt.push_back(now);
}

std::size_t ColdBudget::coldCount(Core::Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_cold.begin(), m_cold.end(), [now](const std::pair<const std::string, Cold> &entry) { return now < entry.second.m_until; }));
}

void ColdBudget::retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known)
{
    std::erase_if(m_cold, [&known](const std::pair<const std::string, Cold> &entry) { return !known.contains(entry.first); });
}

}
