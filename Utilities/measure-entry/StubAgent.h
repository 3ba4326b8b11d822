/// @file A stub agent that answers every request immediately, so that a measurement covers only the entry.
#pragma once

#include "LibCore/Address.h"
#include "LibProtocol/Live.h"
#include "LibProtocol/Report.h"
#include "LibWire/Node.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace MeasureEntry {

/// Answers each request with a fixed number of tokens and reports its load to watchers.
class StubAgent
{
public:
    StubAgent(const std::string &id, const std::string &service, const std::string &digest, int tokens);
    ~StubAgent();

    Core::Result<void> start();
    const Protocol::Member &member() const
    {
        return m_report.m_member;
    }

private:
    void answer(const Wire::IncomingCall &call) const;
    void reportLoop();

    const int m_tokens;
    Telemetry::Metrics m_metrics;
    Protocol::AgentReport m_report;
    std::unique_ptr<Wire::Node> m_node;
    std::mutex m_mutex;
    std::vector<Wire::Responder> m_watchers;
    std::atomic<bool> m_stopping = false;
    std::thread m_thread;
};

}
