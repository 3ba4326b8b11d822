/// @file Start-time fair queueing.

#include "LibRouting/FairQueue.h"

#include <algorithm>

namespace Routing {

namespace {

/// Idle accounts that are remembered for their charges.
constexpr std::size_t MaximumAccounts = 4096;

double chargeOf(const Waiting &waiting)
{
    return waiting.m_cost / std::max(1U, waiting.m_weight);
}

}

FairQueue::FairQueue(std::size_t maximumPerAccount)
    : m_maximumPerAccount(maximumPerAccount)
{
}

bool FairQueue::push(Waiting waiting)
{
    Account &account = m_accounts[waiting.m_account];
    if (account.m_waiting.size() >= m_maximumPerAccount) {
        return false;
    }
    if (account.m_waiting.empty()) {
        account.m_nextStart = std::max(account.m_nextStart, m_virtualTime);
    }
    account.m_weight = std::max(1U, waiting.m_weight);
    const std::int32_t priority = waiting.m_priority;
    const std::deque<Waiting>::const_iterator position =
        std::find_if(account.m_waiting.begin(), account.m_waiting.end(), [priority](const Waiting &other) { return other.m_priority < priority; });
    account.m_waiting.insert(position, std::move(waiting));
    m_size += 1;
    return true;
}

std::map<std::string, FairQueue::Account>::const_iterator FairQueue::nextAccount() const
{
    std::map<std::string, Account>::const_iterator best = m_accounts.end();
    for (std::map<std::string, Account>::const_iterator it = m_accounts.begin(); it != m_accounts.end(); ++it) {
        if (!it->second.m_waiting.empty() && (best == m_accounts.end() || it->second.m_nextStart < best->second.m_nextStart)) {
            best = it;
        }
    }
    return best;
}

const Waiting *FairQueue::front() const
{
    const std::map<std::string, Account>::const_iterator it = nextAccount();
    return it == m_accounts.end() ? nullptr : &it->second.m_waiting.front();
}

std::optional<Waiting> FairQueue::pop()
{
    const std::map<std::string, Account>::const_iterator next = nextAccount();
    if (next == m_accounts.end()) {
        return std::nullopt;
    }
    Account &account = m_accounts[next->first];
    Waiting waiting = std::move(account.m_waiting.front());
    account.m_waiting.pop_front();
    m_size -= 1;
    m_virtualTime = std::max(m_virtualTime, account.m_nextStart);
    account.m_nextStart += chargeOf(waiting);
    return waiting;
}

void FairQueue::charge(const Waiting &started)
{
    Account &account = m_accounts[started.m_account];
    account.m_nextStart = std::max(account.m_nextStart, m_virtualTime) + chargeOf(started);
    if (m_size == 0) {
        forgetIdleAccounts();
    }
}

bool FairQueue::remove(Ticket ticket)
{
    for (std::pair<const std::string, Account> &entry : m_accounts) {
        std::deque<Waiting> &waiting = entry.second.m_waiting;
        const std::deque<Waiting>::const_iterator it =
            std::find_if(waiting.begin(), waiting.end(), [ticket](const Waiting &candidate) { return candidate.m_ticket == ticket; });
        if (it != waiting.end()) {
            waiting.erase(it);
            m_size -= 1;
            return true;
        }
    }
    return false;
}

std::vector<Waiting> FairQueue::takeExpired(Core::Instant now)
{
    std::vector<Waiting> expired;
    for (std::pair<const std::string, Account> &entry : m_accounts) {
        std::deque<Waiting> &waiting = entry.second.m_waiting;
        const std::deque<Waiting>::iterator first =
            std::stable_partition(waiting.begin(), waiting.end(), [now](const Waiting &candidate) { return now < candidate.m_deadline; });
        std::move(first, waiting.end(), std::back_inserter(expired));
        waiting.erase(first, waiting.end());
    }
    m_size -= expired.size();
    return expired;
}

double FairQueue::requestsAhead(const std::string &account, std::uint32_t weight) const
{
    const double own = static_cast<double>(sizeOf(account));
    double ahead = own;
    for (const std::pair<const std::string, Account> &entry : m_accounts) {
        if (entry.first == account) {
            continue;
        }
        const double share = (own + 1) * entry.second.m_weight / std::max(1U, weight);
        ahead += std::min(static_cast<double>(entry.second.m_waiting.size()), share);
    }
    return ahead;
}

std::size_t FairQueue::sizeOf(const std::string &account) const
{
    const std::map<std::string, Account>::const_iterator it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second.m_waiting.size();
}

void FairQueue::forgetIdleAccounts()
{
    if (m_accounts.size() <= MaximumAccounts) {
        return;
    }
    m_accounts.clear();
    m_virtualTime = 0;
}

}
