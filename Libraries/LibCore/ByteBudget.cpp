/// @file Implementation of the limit on bytes that are held.

#include "LibCore/ByteBudget.h"

#include <algorithm>
#include <utility>

namespace Core {

ByteBudget::ByteBudget(std::size_t limit)
    : m_limit(limit)
{
}

bool ByteBudget::tryTake(std::size_t bytes, std::size_t ceiling)
{
    const std::size_t allowed = std::min(ceiling, m_limit);
    std::size_t held = m_held.load(std::memory_order_relaxed);
    do {
        if (held > allowed || bytes > allowed - held) {
            return false;
        }
    } while (!m_held.compare_exchange_weak(held, held + bytes, std::memory_order_relaxed));
    recordPeak(held + bytes);
    return true;
}

void ByteBudget::take(std::size_t bytes)
{
    recordPeak(m_held.fetch_add(bytes, std::memory_order_relaxed) + bytes);
}

void ByteBudget::giveBack(std::size_t bytes)
{
    m_held.fetch_sub(bytes, std::memory_order_relaxed);
    if (m_onGivenBack) {
        m_onGivenBack(bytes);
    }
}

void ByteBudget::onGivenBack(std::function<void(std::size_t bytes)> callback)
{
    m_onGivenBack = std::move(callback);
}

void ByteBudget::recordPeak(std::size_t held)
{
    std::size_t peak = m_peak.load(std::memory_order_relaxed);
    while (peak < held && !m_peak.compare_exchange_weak(peak, held, std::memory_order_relaxed)) { }
}

ByteReservation::ByteReservation(std::shared_ptr<ByteBudget> budget)
    : m_budget(std::move(budget))
{
}

ByteReservation::ByteReservation(ByteReservation &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{
}

ByteReservation &ByteReservation::operator=(ByteReservation &&other) noexcept
{
    if (this != &other) {
        resize(0);
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

ByteReservation::~ByteReservation()
{
    resize(0);
}

bool ByteReservation::tryResize(std::size_t bytes, std::size_t ceiling)
{
    if (m_budget && bytes > m_bytes && !m_budget->tryTake(bytes - m_bytes, ceiling)) {
        return false;
    }
    if (bytes < m_bytes) {
        resize(bytes);
    }
    m_bytes = bytes;
    return true;
}

bool ByteReservation::tryResize(std::size_t bytes)
{
    return tryResize(bytes, m_budget ? m_budget->limit() : 0);
}

void ByteReservation::resize(std::size_t bytes)
{
    const std::size_t before = std::exchange(m_bytes, bytes);
    if (!m_budget || bytes == before) {
        return;
    }
    if (bytes > before) {
        m_budget->take(bytes - before);
    } else {
        m_budget->giveBack(before - bytes);
    }
}

}
