/// @file This process's parts of the retry budgets of all services.
#pragma once

#include "LibPlacement/RetryDecision.h"

#include <map>
#include <string>
#include <vector>

namespace Placement {

/// This process's part of the budget of one service, for logs and metrics.
struct RetryBudgetState
{
    std::string m_service;
    std::size_t m_entries = 1; ///< Entries that the slack is divided among, as this one counts them.
    bool m_areEntriesKnown = false; ///< See RetrySharers.
    bool m_mayUseSlack = false; ///< See Placement::mayUseSlack().
    RetryShare m_share;
    double m_tokens = 0;
    std::size_t m_spent = 0; ///< Retries that this process has sent within the window.
    std::size_t m_slackSpent = 0; ///< Those of them that used the slack.

    bool operator==(const RetryBudgetState &) const = default;
};

/// Keeps an account for each service. Used by one thread.
class RetryBudgets
{
public:
    RetryBudgets(std::string self, RetryBudgetSettings settings, Core::Instant startedAt);

    /// Sets the entries that share the budgets. Returns whether any of them has changed.
    bool setSharers(RetrySharers sharers);
    /// Returns the number of entries among which the slack is divided.
    std::size_t entryCount() const
    {
        return m_sharers.count();
    }
    /// Adds the retries that a new request of the service allows.
    void recordRequest(const std::string &service, Core::Instant now);
    /// Decides on a retry of a request, without reserving it.
    RetryGrant decide(const std::string &service, bool isFirst, double lot, Core::Instant now);
    /// Decides on a retry and reserves what it uses, for spend() or release().
    RetryGrant tryReserve(const std::string &service, bool isFirst, double lot, Core::Instant now);
    /// Spends a reservation: the retry is sent now.
    void spend(const std::string &service, RetryGrant grant, Core::Instant now);
    /// Gives a reservation back: the retry is not sent.
    void release(const std::string &service, RetryGrant grant);

    /// Describes the budget of the service.
    RetryBudgetState describe(const std::string &service, Core::Instant now);
    /// Describes the budgets of all services that have received requests.
    std::vector<RetryBudgetState> describeAll(Core::Instant now);

private:
    struct ServiceBudget
    {
        std::size_t m_heldSlack = 0; ///< By m_sharers.
        RetryAccount m_account;
    };

    RetryShare shareOf(const ServiceBudget &budget) const;
    bool mayUseSlack(Core::Instant now) const;
    /// Returns the budget of the service as of now.
    ServiceBudget &updatedBudget(const std::string &service, Core::Instant now);

    const RetryBudgetSettings m_settings;
    const Core::Instant m_startedAt; ///< Of the process.
    RetrySharers m_sharers;
    std::map<std::string, ServiceBudget> m_budgets; ///< By service.
};

}
