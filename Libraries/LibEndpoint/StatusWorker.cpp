/// @file Implementation of StatusWorker.

#include "LibEndpoint/StatusWorker.h"

#include <glog/logging.h>

namespace Endpoint {

namespace {

/// Number of consecutive lost answers up to which the endpoint still counts as reachable. A refused connection makes it unreachable at once.
constexpr int ToleratedFailures = 1;

}

StatusWorker::StatusWorker(const EngineClient &client, AgentState &state, Core::Duration interval, Telemetry::Metrics &metrics)
    : m_client(client)
    , m_state(state)
    , m_interval(interval)
    , m_failures(metrics.counter("endpoint_status_failures_total"))
{
}

StatusWorker::~StatusWorker()
{
    stop();
}

void StatusWorker::start()
{
    m_thread = std::thread([this] { run(); });
}

void StatusWorker::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void StatusWorker::refresh()
{
    const std::lock_guard<std::mutex> lock(m_refreshMutex);
    const Core::Result<EngineStatus> status = m_client.status();
    if (status) {
        m_consecutiveFailures = 0;
        m_state.update([&status](KnownState &state) {
            if (!state.m_engine.m_reachable) {
                LOG(INFO) << "the endpoint is reachable";
            }
            state.m_engine = status.value();
        });
        return;
    }
    m_failures.add();
    ++m_consecutiveFailures;
    const bool isRefused = status.error().m_code == Core::ErrorCode::Unavailable;
    if (!isRefused && m_consecutiveFailures <= ToleratedFailures) {
        return;
    }
    m_state.update([&status](KnownState &state) {
        if (state.m_engine.m_reachable) {
            LOG(WARNING) << "the endpoint is unreachable: " << status.error();
        }
        state.m_engine = EngineStatus();
    });
}

void StatusWorker::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        refresh();
        lock.lock();
        m_wake.wait_for(lock, m_interval, [this] { return m_stopping; });
    }
}

}
