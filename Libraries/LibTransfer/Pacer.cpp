/// @file Implementation of the token bucket.

#include "LibTransfer/Pacer.h"

#include <algorithm>

namespace Transfer {

namespace {

constexpr double MaximumDebtInBursts = 2;

}

Pacer::Pacer(std::uint64_t rate, std::uint64_t burst, Core::Instant now)
    : m_rate(rate)
    , m_burst(static_cast<double>(burst))
    , m_tokens(m_burst)
    , m_refilledAt(now)
{
}

void Pacer::refill(Core::Instant now)
{
    const double seconds = std::max(0.0, Core::secondsBetween(m_refilledAt, now));
    m_refilledAt = std::max(m_refilledAt, now);
    m_tokens = std::min(m_burst, m_tokens + seconds * static_cast<double>(m_rate));
}

bool Pacer::tryTake(std::uint64_t bytes, Core::Instant now)
{
    if (m_rate == 0) {
        return true;
    }
    refill(now);
    if (m_tokens <= 0) {
        return false;
    }
    m_tokens -= static_cast<double>(bytes);
    return true;
}

void Pacer::charge(std::uint64_t bytes, Core::Instant now)
{
    if (m_rate == 0) {
        return;
    }
    refill(now);
    // Without a limit on the debt, a long period of live traffic would block transfers for the same time after its end.
    const double floor = std::min(m_tokens, -MaximumDebtInBursts * m_burst);
    m_tokens = std::max(floor, m_tokens - static_cast<double>(bytes));
}

void Pacer::refund(std::uint64_t bytes)
{
    m_tokens = std::min(m_burst, m_tokens + static_cast<double>(bytes));
}

Core::Duration Pacer::timeUntilReady(Core::Instant now)
{
    if (m_rate == 0) {
        return Core::Duration(0);
    }
    refill(now);
    if (m_tokens > 0) {
        return Core::Duration(0);
    }
    const double seconds = (1 - m_tokens) / static_cast<double>(m_rate);
    return std::chrono::ceil<Core::Duration>(std::chrono::duration<double>(seconds));
}

}
