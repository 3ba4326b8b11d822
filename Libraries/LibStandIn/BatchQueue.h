/// @file Order in which requests enter an engine's batch. Logic only, without threads.
#pragma once

#include <cstdint>
#include <set>
#include <utility>

namespace StandIn {

/// Position of a request in the queue: larger priorities first, then in order of arrival.
struct BatchTicket
{
    std::int32_t m_priority = 0;
    std::uint64_t m_number = 0; ///< Order of arrival; unique.

    bool operator==(const BatchTicket &) const = default;
    bool operator<(const BatchTicket &other) const
    {
        return std::make_pair(-std::int64_t(m_priority), m_number) < std::make_pair(-std::int64_t(other.m_priority), other.m_number);
    }
};

/// Admits up to @p capacity requests to the batch and queues up to @p maximumQueued more. Not thread-safe.
class BatchQueue
{
public:
    BatchQueue(std::uint32_t capacity, std::uint32_t maximumQueued)
        : m_capacity(capacity)
        , m_maximumQueued(maximumQueued)
    {
    }

    /// Returns true if a place in the batch or in the queue is free for another request.
    bool hasCapacity() const
    {
        return m_running + m_waiting.size() < std::size_t(m_capacity) + m_maximumQueued;
    }

    /// Adds a request to the queue and returns its ticket.
    BatchTicket enqueue(std::int32_t priority)
    {
        const BatchTicket ticket{priority, m_nextNumber++};
        m_waiting.insert(ticket);
        return ticket;
    }

    /// Moves the request into the batch if the batch has a free place and the request is first in the queue.
    bool tryStart(const BatchTicket &ticket)
    {
        if (m_running >= m_capacity || m_waiting.empty() || *m_waiting.begin() != ticket) {
            return false;
        }
        m_waiting.erase(m_waiting.begin());
        ++m_running;
        return true;
    }

    /// Removes a request that no longer waits, for example because it was cancelled.
    void leaveQueue(const BatchTicket &ticket)
    {
        m_waiting.erase(ticket);
    }

    /// Frees the place of a request in the batch.
    void finish()
    {
        --m_running;
    }

    std::uint32_t running() const
    {
        return m_running;
    }

    std::uint32_t queued() const
    {
        return static_cast<std::uint32_t>(m_waiting.size());
    }

private:
    std::uint32_t m_capacity;
    std::uint32_t m_maximumQueued;
    std::set<BatchTicket> m_waiting;
    std::uint32_t m_running = 0; ///< At most m_capacity.
    std::uint64_t m_nextNumber = 0;
};

}
