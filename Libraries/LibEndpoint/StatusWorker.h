/// @file The duty that asks the endpoint how it is.
#pragma once

#include "LibEndpoint/AgentState.h"
#include "LibEndpoint/EngineClient.h"
#include "LibTelemetry/Metrics.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Endpoint {

/// Keeps the endpoint's status in the shared facts.
class StatusWorker
{
public:
    StatusWorker(const EngineClient &client, AgentState &state, Core::Duration interval, Telemetry::Metrics &metrics);
    ~StatusWorker();

    StatusWorker(const StatusWorker &) = delete;
    StatusWorker &operator=(const StatusWorker &) = delete;

    void start();
    void stop();
    /// Asks once, now; usable from other duties.
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
    std::mutex m_refreshMutex; ///< One inquiry at a time, so that an older answer never replaces a newer one.
    std::thread m_thread;
};

}
