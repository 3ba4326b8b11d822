/// @file Queue of requests that wait for an endpoint, fair between client accounts.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Identifies a request at the scheduler.
using Ticket = std::uint64_t;

/// A request in the queue.
struct QueuedRequest
{
    Ticket m_ticket = 0;
    std::string m_account;
    std::uint32_t m_weight = 1; ///< The account's share, relative to other accounts.
    std::int32_t m_priority = 0; ///< Within the account; higher values are served first.
    double m_cost = 1; ///< Work that the request asks for, in a unit that is the same for all requests of the queue.
    Core::Instant m_deadline;

    bool operator==(const QueuedRequest &) const = default;
};

/**
 * Start-time fair queueing over accounts, with a bounded queue for each account.
 *
 * The account with the smallest virtual start time is served next and charged the request's cost divided by its weight, so that large accounts
 * with long queues delay a small one by at most one request each. Priorities order requests within an account only; otherwise an account could
 * raise its requests above those of other accounts.
 */
class FairQueue
{
public:
    explicit FairQueue(std::size_t maximumPerAccount);

    /// Queues a request. Returns false if the account's queue is full.
    bool push(QueuedRequest request);
    /// Returns the request that is served next, without removing it; null if the queue is empty.
    const QueuedRequest *front() const;
    /// Removes front() and charges its account.
    std::optional<QueuedRequest> pop();
    /// Charges an account for a request that started without waiting in the queue.
    void charge(const QueuedRequest &started);
    /// Removes a request without charging its account. Returns false if it is not queued.
    bool remove(Ticket ticket);
    /// Removes and returns every request whose deadline has passed.
    std::vector<QueuedRequest> removeExpired(Core::Instant now);

    std::size_t size() const
    {
        return m_size;
    }
    /// Estimates how many queued requests would be served before a new one of the account, assuming equal costs and no further arrivals.
    double requestsAhead(const std::string &account, std::uint32_t weight) const;
    std::size_t sizeOf(const std::string &account) const;

private:
    struct Account
    {
        std::uint32_t m_weight = 1; ///< Weight of its newest request.
        double m_nextStart = 0; ///< Virtual start time of its next request.
        std::deque<QueuedRequest> m_requests; ///< In descending order of priority, then by arrival; at most m_maximumPerAccount.
    };

    /// The account that is served next; the end iterator if no account has requests.
    std::map<std::string, Account>::const_iterator nextAccount() const;
    void removeIdleAccounts();

    std::size_t m_maximumPerAccount;
    double m_virtualTime = 0; ///< Virtual start time of the request served last. Decreases only when removeIdleAccounts() resets all accounts.
    std::map<std::string, Account> m_accounts;
    std::size_t m_size = 0; ///< Requests over all accounts.
};

}
