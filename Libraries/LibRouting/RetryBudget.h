/// @file Limit on retries as a share of requests.
#pragma once

namespace Routing {

/**
 * Token bucket that is filled by requests and drained by retries.
 *
 * Without a budget every request is retried several times during a brief outage, and the load of the retries keeps the fleet down: the number
 * of attempts rises while the number of answers falls. With the budget, retries add at most the given share to the load.
 */
class RetryBudget
{
public:
    /// Allows retries for a @p share of the requests, and accumulates up to @p burst unused retries.
    RetryBudget(double share, double burst);

    /// Adds the share of one request to the budget.
    void onRequest();
    /// Changes how many unused retries accumulate, and discards those above the new limit.
    void limitBurst(double burst);
    /// Returns whether a retry is available.
    bool hasRetry() const
    {
        return m_tokens >= 1;
    }
    /// Takes one retry from the budget. Returns false if it is exhausted.
    bool tryRetry();

private:
    double m_share;
    double m_burst;
    double m_tokens; ///< Retries available now, from 0 to m_burst.
};

}
