/// @file The worker that polls the endpoint's status.
#pragma once

#include "LibEndpoint/AgentState.h"
#include "LibEndpoint/EngineClient.h"
#include "LibTelemetry/Metrics.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Endpoint {

/// Keeps the endpoint's status in the shared state up to date.
class StatusWorker
{
public:
    StatusWorker(const EngineClient &client, AgentState &state, Core::Duration interval, Telemetry::Metrics &metrics);
    ~StatusWorker();

    StatusWorker(const StatusWorker &) = delete;
    StatusWorker &operator=(const StatusWorker &) = delete;

    void start();
    void stop();
    /// Requests the status once, immediately. Thread-safe, so that other workers can call it.
    void refresh();

private:
    void run();

    const EngineClient &m_client;
    AgentState &m_state;
    const Core::Duration m_interval;
    Telemetry::Counter &m_failures;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    bool m_stopping = false;
    int m_consecutiveFailures = 0;
    std::mutex m_refreshMutex; ///< Allows one request at a time, so that an older answer never replaces a newer one.
    std::thread m_thread;
};

}
