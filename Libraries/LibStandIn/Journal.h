/// @file Bounded record of what a stand-in did, which the checkers read after a run.
#pragma once

#include <cstdint>
#include <deque>
#include <mutex>
#include <vector>

namespace StandIn {

/// Keeps the latest entries. Thread-safe. A journal with dropped entries is incomplete: an event that is not in it may still have happened.
template <typename Entry>
class Journal
{
public:
    explicit Journal(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    void add(Entry entry)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_entries.size() == m_capacity) {
            m_entries.pop_front();
            ++m_dropped;
        }
        m_entries.push_back(std::move(entry));
    }

    std::vector<Entry> entries() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return std::vector<Entry>(m_entries.begin(), m_entries.end());
    }

    /// Returns the number of entries dropped because the journal was full.
    std::uint64_t dropped() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_dropped;
    }

private:
    mutable std::mutex m_mutex;
    std::size_t m_capacity;
    std::deque<Entry> m_entries;
    std::uint64_t m_dropped = 0;
};

}
