/// @file The duty that reports to the entries that watch this agent.
#pragma once

#include "LibEndpoint/AgentState.h"
#include "LibProtocol/Report.h"
#include "LibTelemetry/Metrics.h"
#include "LibWire/Call.h"

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Endpoint {

struct ReportSettings
{
    Core::Duration m_interval{1000}; ///< Between two reports without a change.
    Core::Duration m_maximumInterval{2000}; ///< The same when many watch; well below the silence after which an entry avoids an endpoint.
    std::uint64_t m_bytesPerSecond = 4096; ///< What reports without a change may take, as long as m_longestInterval allows it.
    std::size_t m_maximumWatchers = 64;
};

/// Time until the next report without a change, when the last one had @p reportBytes and went to @p watchers.
Core::Duration reportInterval(const ReportSettings &settings, std::size_t watchers, std::size_t reportBytes);

/// True if @p next has news that watchers should learn at once, and not just other load or progress.
bool isUrgent(const Protocol::AgentReport &last, const Protocol::AgentReport &next);

/// True if @p next differs from @p last in nothing but load and sequence.
bool differsInLoadOnly(const Protocol::AgentReport &last, const Protocol::AgentReport &next);

/// Sends reports: whole and at once after a change that matters, else at the interval, and then only the load if nothing else has changed.
class ReportWorker
{
public:
    using ProgressSource = std::function<std::vector<Protocol::TransferProgress>()>;

    ReportWorker(Protocol::Member self, AgentState &state, ProgressSource progress, ReportSettings settings, Telemetry::Metrics &metrics);
    ~ReportWorker();

    ReportWorker(const ReportWorker &) = delete;
    ReportWorker &operator=(const ReportWorker &) = delete;

    void start();
    /// The state must have been closed before.
    void stop();

    /// Handler of control.watch; does not block.
    void addWatcher(const Wire::IncomingCall &call);
    std::size_t watchers() const;
    Protocol::AgentReport lastReport() const;

private:
    void run();
    Protocol::AgentReport makeReport(const KnownState &facts) const;
    void send(Protocol::AgentReport report);
    std::string encode(const Protocol::AgentReport &report);

    const Protocol::Member m_self;
    AgentState &m_state;
    const ProgressSource m_progressSource;
    const ReportSettings m_settings;
    Telemetry::Counter &m_reportsSent;
    Telemetry::Counter &m_watchersRefused;
    mutable std::mutex m_mutex;
    std::vector<Wire::Responder> m_watchers; ///< At most m_maximumWatchers.
    Protocol::AgentReport m_lastReport;
    std::uint64_t m_lastFullSequence = 1; ///< Sequence of the last whole report that was sent.
    Core::Duration m_currentInterval; ///< From m_lastSent to the next report without a change.
    Core::Instant m_lastSentAt;
    std::thread m_thread;
};

}
