/// @file The worker that sends reports to the entries that watch this agent.
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
    Core::Duration m_interval{1000}; ///< Interval between two reports while nothing changes.
    Core::Duration m_maximumInterval{
        2000}; ///< Maximum interval between two such reports with many watchers; well below the time without reports after which an entry avoids an endpoint.
    std::uint64_t m_bytesPerSecond = 4096; ///< Limit on the traffic of reports without a change, unless m_maximumInterval requires more.
    std::size_t m_maximumWatchers = 64;
};

/// Returns the time until the next report without a change, if the last report had @p reportBytes and was sent to @p watchers watchers.
Core::Duration reportInterval(const ReportSettings &settings, std::size_t watchers, std::size_t reportBytes);

/// Returns true if @p next differs from @p last in more than load and progress, so that watchers must be informed at once.
bool isUrgent(const Protocol::AgentReport &last, const Protocol::AgentReport &next);

/// Returns true if @p next differs from @p last only in load and sequence number.
bool differsInLoadOnly(const Protocol::AgentReport &last, const Protocol::AgentReport &next);

/// Sends a full report at once after an urgent change, and otherwise a report at each interval, which contains only the load if nothing else has changed.
class ReportWorker
{
public:
    using ProgressSource = std::function<std::vector<Protocol::TransferProgress>()>;

    ReportWorker(Protocol::Member self, AgentState &state, ProgressSource progress, ReportSettings settings, Telemetry::Metrics &metrics);
    ~ReportWorker();

    ReportWorker(const ReportWorker &) = delete;
    ReportWorker &operator=(const ReportWorker &) = delete;

    void start();
    /// Joins the thread. The state must be closed before.
    void stop();

    /// Handler of control.watch; does not block.
    void addWatcher(const Wire::IncomingCall &call);
    std::size_t watchers() const;
    Protocol::AgentReport lastReport() const;

private:
    void run();
    Protocol::AgentReport makeReport(const KnownState &state) const;
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
    std::uint64_t m_lastFullSequence = 1; ///< Sequence number of the last full report that was sent.
    Core::Duration m_currentInterval; ///< Time from m_lastSentAt to the next report without a change.
    Core::Instant m_lastSentAt;
    std::thread m_thread;
};

}
