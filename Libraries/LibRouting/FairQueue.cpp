/// @file Start-time fair queueing.

#include "LibRouting/FairQueue.h"

#include <algorithm>

namespace Routing {

namespace {

/// Maximum accounts kept while the queue is empty. Above this, all are removed and their virtual start times are lost.
constexpr std::size_t MaximumAccounts = 4096;

double chargeOf(const QueuedRequest &request)
{
    return request.m_cost / std::max(1U, request.m_weight);
}

}

FairQueue::FairQueue(std::size_t maximumPerAccount)
    : m_maximumPerAccount(maximumPerAccount)
{
}

bool FairQueue::push(QueuedRequest request)
{
    Account &account = m_accounts[request.m_account];
    if (account.m_requests.size() >= m_maximumPerAccount) {
        return false;
    }
    if (account.m_requests.empty()) {
        account.m_nextStart = std::max(account.m_nextStart, m_virtualTime);
    }
    account.m_weight = std::max(1U, request.m_weight);
    const std::int32_t priority = request.m_priority;
    const std::deque<QueuedRequest>::const_iterator position =
        std::find_if(account.m_requests.begin(), account.m_requests.end(), [priority](const QueuedRequest &other) { return other.m_priority < priority; });
    account.m_requests.insert(position, std::move(request));
    m_size += 1;
    return true;
}

std::map<std::string, FairQueue::Account>::const_iterator FairQueue::nextAccount() const
{
    std::map<std::string, Account>::const_iterator best = m_accounts.end();
    for (std::map<std::string, Account>::const_iterator it = m_accounts.begin(); it != m_accounts.end(); ++it) {
        if (!it->second.m_requests.empty() && (best == m_accounts.end() || it->second.m_nextStart < best->second.m_nextStart)) {
            best = it;
        }
    }
    return best;
}

const QueuedRequest *FairQueue::front() const
{
    const std::map<std::string, Account>::const_iterator it = nextAccount();
    return it == m_accounts.end() ? nullptr : &it->second.m_requests.front();
}

std::optional<QueuedRequest> FairQueue::pop()
{
    const std::map<std::string, Account>::const_iterator next = nextAccount();
    if (next == m_accounts.end()) {
        return std::nullopt;
    }
    Account &account = m_accounts[next->first];
    QueuedRequest request = std::move(account.m_requests.front());
    account.m_requests.pop_front();
    m_size -= 1;
    m_virtualTime = std::max(m_virtualTime, account.m_nextStart);
    account.m_nextStart += chargeOf(request);
    return request;
}

void FairQueue::charge(const QueuedRequest &started)
{
    Account &account = m_accounts[started.m_account];
    account.m_nextStart = std::max(account.m_nextStart, m_virtualTime) + chargeOf(started);
    if (m_size == 0) {
        removeIdleAccounts();
    }
}

bool FairQueue::remove(Ticket ticket)
{
    for (std::pair<const std::string, Account> &entry : m_accounts) {
        std::deque<QueuedRequest> &requests = entry.second.m_requests;
        const std::deque<QueuedRequest>::const_iterator it =
            std::find_if(requests.begin(), requests.end(), [ticket](const QueuedRequest &candidate) { return candidate.m_ticket == ticket; });
        if (it != requests.end()) {
            requests.erase(it);
            m_size -= 1;
            return true;
        }
    }
    return false;
}

std::vector<QueuedRequest> FairQueue::removeExpired(Core::Instant now)
{
    std::vector<QueuedRequest> expired;
    for (std::pair<const std::string, Account> &entry : m_accounts) {
        std::deque<QueuedRequest> &requests = entry.second.m_requests;
        const std::deque<QueuedRequest>::iterator first =
            std::stable_partition(requests.begin(), requests.end(), [now](const QueuedRequest &candidate) { return now < candidate.m_deadline; });
        std::move(first, requests.end(), std::back_inserter(expired));
        requests.erase(first, requests.end());
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
        ahead += std::min(static_cast<double>(entry.second.m_requests.size()), share);
    }
    return ahead;
}

std::size_t FairQueue::sizeOf(const std::string &account) const
{
    const std::map<std::string, Account>::const_iterator it = m_accounts.find(account);
    return it == m_accounts.end() ? 0 : it->second.m_requests.size();
}

void FairQueue::removeIdleAccounts()
{
    if (m_accounts.size() <= MaximumAccounts) {
        return;
    }
    m_accounts.clear();
    m_virtualTime = 0;
}

}
