/// @file Implementation of the worker's thread.

#include "LibControl/Worker.h"

namespace Control {

Worker::~Worker()
{
    stop();
}

void Worker::start(std::function<Core::Duration()> task)
{
    if (m_thread.joinable()) {
        return;
    }
    m_stopping = false;
    m_thread = std::thread([this, task = std::move(task)] { run(task); });
}

void Worker::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wakeCondition.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Worker::wake()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_woken = true;
    }
    m_wakeCondition.notify_all();
}

bool Worker::isStopping() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_stopping;
}

bool Worker::pause(Core::Duration duration)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_wakeCondition.wait_for(lock, duration, [this] { return m_stopping; });
    return m_stopping;
}

void Worker::run(const std::function<Core::Duration()> &task)
{
    while (!isStopping()) {
        const Core::Duration wait = task();
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wakeCondition.wait_for(lock, wait, [this] { return m_stopping || m_woken; });
        m_woken = false;
    }
}

}
