/// @file Token bucket for retries.

#include "LibRouting/RetryBudget.h"

#include <algorithm>

namespace Routing {

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void RetryBudget::onRequest()
{
    m_tokens = std::min(m_burst, m_tokens + m_share);
}

void RetryBudget::limitBurst(double burst)
{
    m_burst = burst;
    m_tokens = std::min(m_tokens, m_burst);
}

bool RetryBudget::tryRetry()
{
    if (!hasRetry()) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}
