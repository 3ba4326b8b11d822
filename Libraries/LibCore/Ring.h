/// @file A bounded queue between two threads of a process.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>

namespace Core {

/**
 * Bounded multi-producer queue between threads.
 *
 * A full ring refuses items instead of growing. When a consumer falls behind, its producers see refused pushes and can shed load at once,
 * instead of the process slowly running out of memory.
 */
template <typename T>
class Ring
{
public:
    explicit Ring(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Returns false, leaving the ring unchanged, if it is full or closed.
    bool tryPush(T item)
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_closed || m_items.size() >= m_capacity) {
                return false;
            }
            m_items.push_back(std::move(item));
        }
        m_filled.notify_one();
        return true;
    }

    /// Waits at most @p timeout for an item. Returns nothing on timeout, or if the ring is closed and empty.
    std::optional<T> pop(std::chrono::milliseconds timeout)
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_filled.wait_for(lock, timeout, [this] { return m_closed || !m_items.empty(); });
        if (m_items.empty()) {
            return std::nullopt;
        }
        std::optional<T> item(std::move(m_items.front()));
        m_items.pop_front();
        return item;
    }

    /// Wakes all waiting threads; later pushes are refused.
    void close()
    {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_closed = true;
        }
        m_filled.notify_all();
    }

    bool isClosed() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_closed;
    }

    std::size_t size() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_items.size();
    }

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::condition_variable m_filled;
    std::deque<T> m_items; ///< Never holds more than m_capacity items.
    bool m_closed = false; ///< Once true, stays true.
};

}
