/// @file A thread that repeats one task until it is stopped, and can be woken early.
#pragma once

#include "LibCore/Clock.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Control {

/// Runs a task repeatedly on its own thread. After each run it waits for the time that the task returned, or until it is woken. A
/// run must end within a bounded time.
class Worker
{
public:
    Worker() = default;
    ~Worker();

    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    /// Starts the thread. @p task returns the time to wait before its next run.
    void start(std::function<Core::Duration()> task);
    /// Stops after the current run and joins the thread.
    void stop();
    /// Makes the next run start at once. May be called from any thread.
    void wake();
    bool isStopping() const;
    /// Waits within a run, at most for @p duration. Returns true if the worker is being stopped.
    bool pause(Core::Duration duration);

private:
    void run(const std::function<Core::Duration()> &task);

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeCondition;
    bool m_stopping = false;
    bool m_woken = false;
    std::thread m_thread;
};

}
