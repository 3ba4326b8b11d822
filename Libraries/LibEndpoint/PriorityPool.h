/// @file A bounded priority queue and the thread pool that processes it.
#pragma once

#include "LibCore/Clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace Endpoint {

struct PoolLimits
{
    std::size_t m_maximumThreads = 64;
    std::size_t m_maximumQueue = 256;
    Core::Duration m_idleLimit{5000}; ///< A thread ends after being idle for this long.
};

/// Runs jobs by priority (larger first), and in order of arrival within a priority. Threads are started on demand and end when idle.
template <typename Job>
class PriorityPool
{
public:
    PriorityPool(PoolLimits limits, std::function<void(Job &)> work)
        : m_limits(limits)
        , m_work(std::move(work))
    {
    }

    ~PriorityPool()
    {
        stop();
    }

    PriorityPool(const PriorityPool &) = delete;
    PriorityPool &operator=(const PriorityPool &) = delete;

    /// Queues a job. Returns false and leaves the pool unchanged if the queue is full or the pool is stopped.
    bool tryPush(Job job, std::int32_t priority)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        joinEnded();
        if (m_stopped || m_queue.size() >= m_limits.m_maximumQueue) {
            return false;
        }
        m_queue.emplace(-static_cast<std::int64_t>(priority), std::move(job));
        if (m_idle < m_queue.size() && m_threads.size() < m_limits.m_maximumThreads) {
            startThread();
        }
        m_changed.notify_one();
        return true;
    }

    std::size_t queued() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_queue.size();
    }

    std::size_t running() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_running;
    }

    std::size_t threads() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_threads.size();
    }

    /// Refuses further jobs and returns the queued ones, which do not run. Running jobs continue.
    std::vector<Job> close()
    {
        std::vector<Job> queued;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_stopped = true;
            for (std::pair<const std::int64_t, Job> &entry : m_queue) {
                queued.push_back(std::move(entry.second));
            }
            m_queue.clear();
        }
        m_changed.notify_all();
        return queued;
    }

    /// Drops the queued jobs and waits for the running ones.
    void stop()
    {
        close();
        std::list<std::thread> threads;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            threads.swap(m_threads);
            m_ended.clear();
        }
        for (std::thread &thread : threads) {
            thread.join();
        }
    }

private:
    void startThread()
    {
        m_threads.emplace_back([this] { run(); });
    }

    /// Joins threads that have ended because they were idle.
    void joinEnded()
    {
        for (const std::thread::id id : m_ended) {
            for (std::list<std::thread>::iterator it = m_threads.begin(); it != m_threads.end(); ++it) {
                if (it->get_id() == id) {
                    it->join();
                    m_threads.erase(it);
                    break;
                }
            }
        }
        m_ended.clear();
    }

    void run()
    {
        std::unique_lock<std::mutex> lock(m_mutex);
        while (true) {
            ++m_idle;
            m_changed.wait_for(lock, m_limits.m_idleLimit, [this] { return m_stopped || !m_queue.empty(); });
            --m_idle;
            if (m_stopped) {
                return;
            }
            if (m_queue.empty()) {
                m_ended.push_back(std::this_thread::get_id());
                return;
            }
            Job job = std::move(m_queue.begin()->second);
            m_queue.erase(m_queue.begin());
            ++m_running;
            lock.unlock();
            m_work(job);
            lock.lock();
            --m_running;
        }
    }

    const PoolLimits m_limits;
    const std::function<void(Job &)> m_work;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::multimap<std::int64_t, Job> m_queue; ///< By negated priority; at most m_maximumQueue jobs.
    std::list<std::thread> m_threads; ///< At most m_maximumThreads.
    std::list<std::thread::id> m_ended; ///< Threads in m_threads that have left run().
    std::size_t m_idle = 0;
    std::size_t m_running = 0;
    bool m_stopped = false; ///< Once true, stays true.
};

}
