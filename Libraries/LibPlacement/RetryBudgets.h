/// @file This process's part of the fleet's budget for sending requests again.
#pragma once

#include "LibRouting/RetryBudget.h"

#include <cstddef>
#include <map>
#include <string>

namespace Placement {

/// The budget that all processes share.
struct RetryBudgetSettings
{
    double m_retriesPerRequest = 0.2; ///< Repeats for each request of a service.
    double m_burst = 100; ///< Further repeats of a service within the window, summed over all processes.
    double m_safetyFactor = 0.85; ///< Part of the budget that is used: requests spread unevenly over processes, and windows begin at any time.

    bool operator==(const RetryBudgetSettings &) const = default;
};

/**
 * One budget for each service.
 *
 * The processes cannot count together without a round trip for each repeat, so each takes an equal part of the slack. Used by one thread.
 */
class RetryBudgets
{
public:
    explicit RetryBudgets(RetryBudgetSettings settings);

    /// Number of processes that share the budget; at least one.
    void setProcessCount(std::size_t sharers);
    void onRequest(const std::string &service);
    /// Takes one repeat out of the budget; false if there is none.
    bool tryRetry(const std::string &service);

private:
    double burst() const;
    Routing::RetryBudget &budget(const std::string &service);

    const RetryBudgetSettings m_settings;
    std::size_t m_processCount = 1;
    std::map<std::string, Routing::RetryBudget> m_budgets; ///< By service.
};

}
