/// @file Requests that wait for an endpoint, shared fairly between client accounts.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

using Ticket = std::uint64_t;

/// A request in the queue.
struct QueuedRequest
{
    Ticket m_ticket = 0;
    std::string m_account;
    std::uint32_t m_weight = 1; ///< The account's share, relative to the others.
    std::int32_t m_priority = 0; ///< Within the account; larger goes first.
    double m_cost = 1; ///< Work that the request asks for, in any unit that is the same for all.
    Core::Instant m_deadline;

    bool operator==(const QueuedRequest &) const = default;
};

/**
 * Start-time fair queueing over accounts, with a bounded queue for each.
 *
 * The account with the smallest virtual start time goes next and is charged cost over weight, so that a few large accounts with long queues
 * cannot delay the small ones by more than a request each. Priorities order requests inside an account only; else one account could raise
 * itself above the others.
 */
class FairQueue
{
public:
    explicit FairQueue(std::size_t maximumPerAccount);

    /// False if the account's queue is full.
    bool push(QueuedRequest waiting);
    /// The next request whose turn it is; it stays in the queue.
    const QueuedRequest *front() const;
    /// Takes front() out and charges its account.
    std::optional<QueuedRequest> pop();
    /// Charges an account for work that did not have to wait.
    void charge(const QueuedRequest &started);
    /// Takes one request out without charge; false if it is not here.
    bool remove(Ticket ticket);
    /// Takes out every request whose deadline has passed.
    std::vector<QueuedRequest> removeExpired(Core::Instant now);

    std::size_t size() const
    {
        return m_size;
    }
    /// Requests that would be served before the next one of an account, if all ask for the same work and no others come.
    double requestsAhead(const std::string &account, std::uint32_t weight) const;
    std::size_t sizeOf(const std::string &account) const;

private:
    struct Account
    {
        std::uint32_t m_weight = 1; ///< Of its newest request.
        double m_nextStart = 0; ///< Virtual time at which its next request may start.
        std::deque<QueuedRequest> m_requests; ///< By falling priority, then by arrival; at most m_maximumPerAccount.
    };

    /// The account whose turn it is.
    std::map<std::string, Account>::const_iterator nextAccount() const;
    void removeIdleAccounts();

    std::size_t m_maximumPerAccount;
    double m_virtualTime = 0; ///< Start time of the request that went last; never falls.
    std::map<std::string, Account> m_accounts;
    std::size_t m_size = 0; ///< Sum over all accounts.
};

}
