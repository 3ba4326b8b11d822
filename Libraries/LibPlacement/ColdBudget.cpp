/// @file Implementation of the budget for cold endpoints.

#include "LibPlacement/ColdBudget.h"

#include "LibCore/Random.h"

#include <algorithm>
#include <cmath>

namespace Placement {

namespace {

/// Returns whether @p left comes before @p right in the order of those that send to the endpoint.
bool sendsBefore(const LimitHolder &left, const LimitHolder &right, const Fleet::Endpoint &endpoint, const ColdBudgetSettings &settings)
{
    const std::size_t leftAllowance = newcomerAllowance(endpoint, left, settings);
    const std::size_t rightAllowance = newcomerAllowance(endpoint, right, settings);
    return leftAllowance == rightAllowance ? ranksBefore(left, right, endpoint) : leftAllowance > rightAllowance;
}

}

std::size_t coldAllowance(
    const Fleet::Endpoint &endpoint, double perSecond, const LimitHolder &self, const std::vector<LimitHolder> &others, const ColdBudgetSettings &settings)
{
    const double budget = (perSecond * settings.m_excess + settings.m_slack) * settings.m_usedShare;
    const std::size_t requests = static_cast<std::size_t>(std::max(1.0, std::floor(budget))); // Of no request at all an endpoint would not become warm.
    const std::size_t entries = others.size() + 1;
    if (requests >= entries) {
        return requests / entries;
    }
    const std::ptrdiff_t before =
        std::count_if(others.begin(), others.end(), [&](const LimitHolder &other) { return sendsBefore(other, self, endpoint, settings); });
    return static_cast<std::size_t>(before) < requests ? 1 : 0;
}

std::size_t newcomerAllowance(const Fleet::Endpoint &endpoint, const LimitHolder &self, const ColdBudgetSettings &settings)
{
    constexpr double weights = 18446744073709551616.0; // Two to the power of 64.
    return static_cast<double>(Core::rendezvousWeight(endpoint.m_id, self.m_id)) < settings.m_newcomerShare * weights ? 1 : 0;
}

ColdBudget::ColdBudget(LimitHolder self, ColdBudgetSettings settings, Core::Instant startedAt)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_startedAt(startedAt)
    , m_grownAt(startedAt)
{
}

void ColdBudget::setEntries(std::vector<LimitHolder> others, bool isComplete, Core::Instant now)
{
    if (static_cast<double>(others.size()) > m_settings.m_growthFactor * static_cast<double>(m_grownCount)) {
        m_grownCount = others.size();
        m_grownAt = now;
    }
    m_others = std::move(others);
    m_isComplete = isComplete;
}

bool ColdBudget::isSettled(Core::Instant now) const
{
    return m_isComplete && now - m_grownAt >= m_settings.m_settlingTime;
}

ColdBudget::Cold &ColdBudget::getOrCreate(const Fleet::Endpoint &endpoint)
{
    Cold &cold = m_cold[endpoint.m_id];
    if (cold.m_startedMilliseconds != endpoint.m_startedMilliseconds) {
        cold = Cold{};
        cold.m_startedMilliseconds = endpoint.m_startedMilliseconds;
    }
    return cold;
}

bool ColdBudget::recordStated(const Fleet::Endpoint &endpoint, double perSecond, std::optional<Core::Instant> coldUntil)
{
    if (!coldUntil && !m_cold.contains(endpoint.m_id)) {
        return false;
    }
    Cold &cold = getOrCreate(endpoint);
    const bool isChanged = cold.m_statedUntil != coldUntil || cold.m_perSecond != perSecond;
    cold.m_statedUntil = coldUntil;
    cold.m_perSecond = perSecond;
    return isChanged;
}

void ColdBudget::recordSuspected(const Fleet::Endpoint &endpoint, double perSecond, Core::Instant coldUntil)
{
    Cold &cold = getOrCreate(endpoint);
    cold.m_perSecond = perSecond;
    cold.m_suspectedUntil = std::max(cold.m_suspectedUntil, coldUntil);
}

void ColdBudget::recordUnlimited(const Fleet::Endpoint &endpoint)
{
    m_cold.erase(endpoint.m_id);
}

const ColdBudget::Cold *ColdBudget::find(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    const std::map<std::string, Cold>::const_iterator found = m_cold.find(endpoint.m_id);
    const bool isCold = found != m_cold.end() && found->second.m_startedMilliseconds == endpoint.m_startedMilliseconds && found->second.isInForce(now);
    return isCold ? &found->second : nullptr;
}

bool ColdBudget::isCold(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    return find(endpoint, now) != nullptr;
}

std::size_t ColdBudget::countRecent(const std::string &endpoint, Core::Instant now) const
{
    const std::map<std::string, std::deque<Core::Instant>>::const_iterator sent = m_sentAt.find(endpoint);
    if (sent == m_sentAt.end()) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(sent->second.begin(), sent->second.end(), [this, now](Core::Instant sentAt) { return now - sentAt < m_settings.m_window; }));
}

bool ColdBudget::maySend(const Fleet::Endpoint &endpoint, Core::Instant now) const
{
    const Cold *cold = find(endpoint, now);
    if (!cold) {
        return true;
    }
    if (now - m_startedAt < m_settings.m_window) {
        return false;
    }
    const std::size_t allowance =
        isSettled(now) ? coldAllowance(endpoint, cold->m_perSecond, m_self, m_others, m_settings) : newcomerAllowance(endpoint, m_self, m_settings);
    return countRecent(endpoint.m_id, now) < allowance;
}

void ColdBudget::recordSent(const Fleet::Endpoint &endpoint, Core::Instant now)
{
    std::deque<Core::Instant> &sentAt = m_sentAt[endpoint.m_id];
    while (!sentAt.empty() && now - sentAt.front() >= m_settings.m_window) {
        sentAt.pop_front();
    }
    sentAt.push_back(now);
}

std::size_t ColdBudget::coldCount(Core::Instant now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_cold.begin(), m_cold.end(), [now](const std::pair<const std::string, Cold> &entry) { return entry.second.isInForce(now); }));
}

void ColdBudget::retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known)
{
    std::erase_if(m_cold, [&known](const std::pair<const std::string, Cold> &entry) { return !known.contains(entry.first); });
    std::erase_if(m_sentAt, [&known](const std::pair<const std::string, std::deque<Core::Instant>> &entry) { return !known.contains(entry.first); });
}

}
