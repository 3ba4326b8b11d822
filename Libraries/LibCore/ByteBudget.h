/// @file Limits the bytes that a process holds for its peers, as one sum over all of them.
#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace Core {

/**
 * A number of bytes that may be held at the same time.
 *
 * A limit on each connection does not limit their sum, so that enough peers make a process exceed its memory. Bytes are taken before they are received and
 * given back when they are freed. Thread-safe.
 */
class ByteBudget
{
public:
    explicit ByteBudget(std::size_t limit);

    /// Takes bytes if no more than @p ceiling are held afterwards. Returns whether it did.
    bool tryTake(std::size_t bytes, std::size_t ceiling);
    /// Takes bytes even beyond the limit, for bytes that have been received already.
    void take(std::size_t bytes);
    void giveBack(std::size_t bytes);
    /// Sets a callback that is called after bytes were given back, on the thread that did. Before the first use of the budget only.
    void onGivenBack(std::function<void(std::size_t bytes)> callback);

    std::size_t limit() const
    {
        return m_limit;
    }
    std::size_t held() const
    {
        return m_held.load(std::memory_order_relaxed);
    }
    /// Returns the largest number of bytes that were held at the same time.
    std::size_t peak() const
    {
        return m_peak.load(std::memory_order_relaxed);
    }
    bool isExceeded() const
    {
        return held() > m_limit;
    }

private:
    void recordPeak(std::size_t held);

    const std::size_t m_limit;
    std::atomic<std::size_t> m_held = 0;
    std::atomic<std::size_t> m_peak = 0;
    std::function<void(std::size_t bytes)> m_onGivenBack;
};

/// Bytes taken from a budget, which are given back when this object is destroyed. Without a budget any number of bytes may be held.
class ByteReservation
{
public:
    ByteReservation() = default;
    explicit ByteReservation(std::shared_ptr<ByteBudget> budget);
    ByteReservation(ByteReservation &&other) noexcept;
    ByteReservation &operator=(ByteReservation &&other) noexcept;
    ByteReservation(const ByteReservation &) = delete;
    ByteReservation &operator=(const ByteReservation &) = delete;
    ~ByteReservation();

    /// Changes the number of bytes if the budget then holds no more than @p ceiling, or if the number decreases. Returns whether it did.
    bool tryResize(std::size_t bytes, std::size_t ceiling);
    /// As above, with the limit of the budget.
    bool tryResize(std::size_t bytes);
    /// Changes the number of bytes even beyond the limit, for bytes that have been received already.
    void resize(std::size_t bytes);

    std::size_t bytes() const
    {
        return m_bytes;
    }

private:
    std::shared_ptr<ByteBudget> m_budget;
    std::size_t m_bytes = 0; ///< Taken from m_budget.
};

}
