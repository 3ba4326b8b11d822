/// @file Limit on retries as a share of requests.
#pragma once

namespace Routing {

/**
 * Token bucket that requests fill and retries drain.
 *
 * Without it a fleet that fails for a moment is hit by every request several times over, and stays down under the load of the retries;
 * one would see attempts grow while answers fall. With it retries add at most the given share to the load.
 */
class RetryBudget
{
public:
    /// @p share of the requests may be retried; up to @p burst unused retries are kept.
    RetryBudget(double share, double burst);

    void onRequest();
    /// Changes how many unused retries are kept; what is over is lost.
    void limitBurst(double burst);
    /// Takes one retry out of the budget; false if there is none.
    bool tryRetry();

private:
    double m_share;
    double m_burst;
    double m_tokens; ///< Between 0 and m_burst.
};

}
