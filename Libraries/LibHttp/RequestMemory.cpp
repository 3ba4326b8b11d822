/// @file Implementation of the limit on the bytes that requests hold.

#include "LibHttp/RequestMemory.h"

#include <algorithm>

namespace Http {

namespace {

constexpr double MinimumRatePeriodSeconds = 0.4; ///< Longer than most requests take, and short compared to their time limits.
constexpr double MaximumRatePeriodSeconds = 2; ///< Older releases count less and less.
constexpr double MillisecondsPerSecond = 1000;

}

RequestMemory::RequestMemory(EventLoop &loop, RequestMemorySettings settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_budget(std::make_shared<Core::ByteBudget>(settings.m_limitBytes))
{
    m_budget->onGivenBack([this](std::size_t bytes) { onGivenBack(bytes); });
}

RequestMemory::~RequestMemory()
{
    *m_isAlive = false;
    m_budget->onGivenBack(nullptr); // Bodies may outlive this object.
}

Core::ByteReservation RequestMemory::makeReservation() const
{
    return Core::ByteReservation(m_budget);
}

std::size_t RequestMemory::ceiling(std::size_t bytes) const
{
    const bool isLarge = bytes > m_settings.m_largeRequestBytes;
    return isLarge ? static_cast<std::size_t>(m_settings.m_largeRequestShare * static_cast<double>(m_budget->limit())) : m_budget->limit();
}

bool RequestMemory::tryEnlarge(Core::ByteReservation &reservation, std::size_t bytes) const
{
    const bool isLarge = bytes > m_settings.m_largeRequestBytes;
    const bool isBehindOthers =
        isLarge && std::any_of(m_waiters.begin(), m_waiters.end(), [this](const Waiter &waiter) { return waiter.m_bytes > m_settings.m_largeRequestBytes; });
    return bytes <= reservation.bytes() || (!isBehindOthers && reservation.tryResize(bytes, ceiling(bytes)));
}

bool RequestMemory::canEverHold(std::size_t bytes) const
{
    return bytes <= ceiling(bytes);
}

RequestMemory::Ticket RequestMemory::await(Core::ByteReservation &reservation, std::size_t bytes, Granted granted)
{
    if (m_waiters.empty()) {
        m_saturatedSince = Core::Clock::now();
        m_givenBackBytes = 0;
    }
    m_waiters.push_back(Waiter{++m_lastTicket, &reservation, bytes, std::move(granted)});
    return m_lastTicket;
}

void RequestMemory::cancel(Ticket ticket)
{
    std::erase_if(m_waiters, [ticket](const Waiter &waiter) { return waiter.m_ticket == ticket; });
    scheduleGrants(); // The next one may need less.
}

std::optional<Core::Duration> RequestMemory::expectedWait(std::size_t bytes, Core::Instant now) const
{
    const double elapsed = Core::secondsBetween(m_saturatedSince, now);
    if (m_waiters.empty() || elapsed < MinimumRatePeriodSeconds || m_givenBackBytes <= 0) {
        return std::nullopt;
    }
    const double rate = m_givenBackBytes / elapsed;
    std::size_t needed = m_budget->held() + bytes;
    for (const Waiter &waiter : m_waiters) {
        needed += waiter.m_bytes - std::min(waiter.m_bytes, waiter.m_reservation->bytes());
    }
    const std::size_t missing = needed - std::min(needed, ceiling(bytes));
    return Core::Duration(static_cast<std::int64_t>(static_cast<double>(missing) / rate * MillisecondsPerSecond));
}

void RequestMemory::onGivenBack(std::size_t bytes)
{
    if (m_waiters.empty()) {
        return;
    }
    m_givenBackBytes += static_cast<double>(bytes);
    const Core::Instant now = Core::Clock::now();
    if (Core::secondsBetween(m_saturatedSince, now) > MaximumRatePeriodSeconds) {
        m_saturatedSince += (now - m_saturatedSince) / 2;
        m_givenBackBytes /= 2;
    }
    scheduleGrants();
}

void RequestMemory::scheduleGrants()
{
    if (m_isScheduled || m_waiters.empty()) {
        return;
    }
    m_isScheduled = true;
    boost::asio::post(m_loop, [this, alive = m_isAlive] {
        if (*alive) {
            m_isScheduled = false;
            grantWaiting();
        }
    });
}

std::optional<RequestMemory::Waiter> RequestMemory::takeGrantable()
{
    bool mayGrantLarge = true;
    for (std::list<Waiter>::iterator it = m_waiters.begin(); it != m_waiters.end(); ++it) {
        const bool isLarge = it->m_bytes > m_settings.m_largeRequestBytes;
        if (isLarge && !mayGrantLarge) {
            continue;
        }
        if (it->m_reservation->tryResize(it->m_bytes, ceiling(it->m_bytes))) {
            Waiter granted = std::move(*it);
            m_waiters.erase(it);
            return granted;
        }
        mayGrantLarge = mayGrantLarge && !isLarge;
    }
    return std::nullopt;
}

void RequestMemory::grantWaiting()
{
    while (const std::optional<Waiter> waiter = takeGrantable()) {
        waiter->m_granted();
    }
}

}
