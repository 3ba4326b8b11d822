/// @file Implementation of ReportWorker.

#include "LibEndpoint/ReportWorker.h"
#include "LibWire/Pack.h"

namespace Endpoint {

namespace {

/// A watcher with at least this many unsent bytes is too far behind and is not sent further reports.
constexpr std::size_t MaximumBacklogBytes = 64 << 10;
/// Minimum time between two reports, so that a burst of changes does not cause a burst of reports.
constexpr Core::Duration MinimumGap{20};
/// At least one of this many reports is a full one, for watchers that missed the last full report.
constexpr std::uint64_t ReportsPerFullReport = 16;

}

Core::Duration reportInterval(const ReportSettings &settings, std::size_t watchers, std::size_t reportBytes)
{
    const std::uint64_t bytes = watchers * reportBytes;
    const Core::Duration rateLimitedInterval(static_cast<std::int64_t>(bytes * 1000 / settings.m_bytesPerSecond));
    return std::max(settings.m_interval, std::min(rateLimitedInterval, settings.m_maximumInterval));
}

bool isUrgent(const Protocol::AgentReport &last, const Protocol::AgentReport &next)
{
    return last.m_member != next.m_member || last.m_endpointHealthy != next.m_endpointHealthy || last.m_attestations != next.m_attestations
        || last.m_appliedOffset != next.m_appliedOffset;
}

bool differsInLoadOnly(const Protocol::AgentReport &last, const Protocol::AgentReport &next)
{
    return !isUrgent(last, next) && last.m_transfers == next.m_transfers;
}

ReportWorker::ReportWorker(Protocol::Member self, AgentState &state, ProgressSource progress, ReportSettings settings, Telemetry::Metrics &metrics)
    : m_self(std::move(self))
    , m_state(state)
    , m_progressSource(std::move(progress))
    , m_settings(settings)
    , m_reportsSent(metrics.counter("reports_sent_total"))
    , m_watchersRefused(metrics.counter("report_watchers_refused_total"))
    , m_currentInterval(settings.m_interval)
{
    m_lastReport = makeReport(m_state.knownState());
    m_lastReport.m_sequence = 1;
}

ReportWorker::~ReportWorker()
{
    stop();
}

void ReportWorker::start()
{
    m_lastSentAt = Core::Clock::now();
    m_thread = std::thread([this] { run(); });
}

void ReportWorker::stop()
{
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void ReportWorker::addWatcher(const Wire::IncomingCall &call)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::erase_if(m_watchers, [](const Wire::Responder &watcher) { return watcher.isCancelled(); });
    if (m_watchers.size() >= m_settings.m_maximumWatchers) {
        m_watchersRefused.add();
        call.m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "watch reports", m_self.m_id, "too many watchers"));
        return;
    }
    call.m_responder.send(Wire::pack(m_lastReport));
    m_watchers.push_back(call.m_responder);
}

std::size_t ReportWorker::watchers() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_watchers.size();
}

Protocol::AgentReport ReportWorker::lastReport() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_lastReport;
}

void ReportWorker::run()
{
    std::uint64_t seen = 0;
    while (!m_state.isClosed()) {
        const Core::Instant due = m_lastSentAt + m_currentInterval;
        const Core::Duration untilDue = std::chrono::ceil<Core::Duration>(due - Core::Clock::now());
        seen = m_state.waitForChange(seen, std::max(untilDue, Core::Duration(0)));
        Protocol::AgentReport next = makeReport(m_state.knownState());
        if (Core::Clock::now() < due && !isUrgent(lastReport(), next)) {
            continue;
        }
        send(std::move(next));
        std::this_thread::sleep_for(MinimumGap);
    }
}

Protocol::AgentReport ReportWorker::makeReport(const KnownState &state) const
{
    Protocol::AgentReport report;
    report.m_member = m_self;
    report.m_member.m_leaving = state.m_leaving;
    report.m_appliedOffset = state.m_appliedOffset;
    report.m_endpointHealthy = state.m_engine.m_reachable;
    report.m_attestations = attestationsOf(state);
    report.m_load = state.m_engine.m_load;
    report.m_transfers = m_progressSource();
    return report;
}

std::string ReportWorker::encode(const Protocol::AgentReport &report)
{
    if (differsInLoadOnly(m_lastReport, report) && report.m_sequence - m_lastFullSequence < ReportsPerFullReport) {
        return Wire::pack(Protocol::LoadReport{true, report.m_sequence, m_lastFullSequence, report.m_load});
    }
    m_lastFullSequence = report.m_sequence;
    return Wire::pack(report);
}

void ReportWorker::send(Protocol::AgentReport report)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    report.m_sequence = m_lastReport.m_sequence + 1;
    const std::string bytes = encode(report);
    for (const Wire::Responder &watcher : m_watchers) {
        if (watcher.backlog() < MaximumBacklogBytes && watcher.send(bytes)) {
            m_reportsSent.add();
        }
    }
    std::erase_if(m_watchers, [](const Wire::Responder &watcher) { return watcher.isCancelled(); });
    m_currentInterval = reportInterval(m_settings, m_watchers.size(), bytes.size());
    m_lastReport = std::move(report);
    m_lastSentAt = Core::Clock::now();
}

}
