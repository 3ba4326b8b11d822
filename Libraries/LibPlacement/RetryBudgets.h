/// @file This process's share of the retry budgets of the fleet.
#pragma once

#include "LibCore/Clock.h"
#include "LibRouting/RetryBudget.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Placement {

/// Budget of a service that all processes share.
struct RetryBudgetSettings
{
    double m_retriesPerRequest = 0.2; ///< Retries that each request of a service adds to the budget.
    double m_burst = 100; ///< Additional retries of a service within the window, summed over all processes.
    double m_safetyFactor = 0.85; ///< Part of the budget that is used, because requests are spread unevenly over processes and windows begin at any time.

    Core::Duration m_window{10000}; ///< Time over which retries are counted.

    bool operator==(const RetryBudgetSettings &) const = default;
};

/// This process's part of the budget of one service, for logs and metrics.
struct RetryBudgetState
{
    std::string m_service;
    std::size_t m_processes = 1; ///< Processes that the budget is divided among, as this process knows them.
    double m_share = 0; ///< Retries beyond those that requests add which this process may accumulate.
    double m_available = 0; ///< Retries that this process may make now.
    std::size_t m_spent = 0; ///< Retries that this process has made within the window.

    bool operator==(const RetryBudgetState &) const = default;
};

/**
 * Keeps one retry budget for each service.
 *
 * The processes cannot count together without a round trip for each retry, so each uses an equal part of the burst. Used by one thread.
 */
class RetryBudgets
{
public:
    explicit RetryBudgets(RetryBudgetSettings settings);

    /// Sets the number of processes that share the budget; 0 counts as 1.
    void setProcessCount(std::size_t sharers);
    /// Adds the retries that a new request of the service allows.
    void onRequest(const std::string &service);
    /// Returns whether the budget of the service allows a retry now.
    bool hasRetry(const std::string &service);
    /// Takes one retry out of the budget; returns false if the budget is used up.
    bool tryRetry(const std::string &service, Core::Instant now);
    std::size_t processCount() const
    {
        return m_processCount;
    }
    /// Describes the budget of the service.
    RetryBudgetState describe(const std::string &service, Core::Instant now);
    /// Describes the budgets of all services that have received requests.
    std::vector<RetryBudgetState> describeAll(Core::Instant now);

private:
    double burst() const;
    Routing::RetryBudget &budget(const std::string &service);

    const RetryBudgetSettings m_settings;
    std::size_t m_processCount = 1;
    std::map<std::string, Routing::RetryBudget> m_budgets; ///< By service.
    std::map<std::string, std::deque<Core::Instant>> m_spentAt; ///< Times of the retries within the window by service, oldest first.
};

}
