/// @file A thread that does one job again and again until it is stopped, and can be woken early.
#pragma once

#include "LibCore/Clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Control {

/// Runs a turn, waits as long as the turn said or until it is woken, and so on. Turns must end within a bounded time.
class Worker
{
public:
    Worker() = default;
    ~Worker();

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Starts the thread. @p turn returns how long to wait until the next one.
    void start(std::function<Core::Duration()> turn);
    /// Ends after the turn that runs; joins the thread.
    void stop();
    /// Makes the next turn come at once. From any thread.
    void wake();
    bool isStopping() const;
    /// Waits inside a turn; true if the duty is being stopped.
    bool pause(Core::Duration duration);

private:
    void run(const std::function<Core::Duration()> &turn);

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    bool m_stopping = false;
    bool m_woken = false;
    std::thread m_thread;
};

}
