/// @file Implementation of the control stream's reader.

#include "LibControl/LogTail.h"
#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibCore/Random.h"

#include <glog/logging.h>

namespace Control {

namespace {

constexpr Core::Duration NoWait{0};

}

LogTail::LogTail(Platform::Log &log, StateStore &store, Telemetry::Metrics &metrics, LogTailSettings settings)
    : m_log(log)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_readFailures(metrics.counter("control_log_read_failures_total"))
    , m_divergences(metrics.counter("control_log_diverged_total"))
    , m_restores(metrics.counter("control_log_restores_total"))
    , m_backoff(m_settings.m_initialBackoff)
{
    metrics.gauge("control_log_up", [this] { return m_isLogUp ? 1.0 : 0.0; });
}

LogTail::~LogTail()
{
    stop();
}

void LogTail::start()
{
    m_worker.start([this] { return runOnce(); });
}

void LogTail::stop()
{
    m_worker.stop();
}

bool LogTail::isLogUp() const
{
    return m_isLogUp;
}

Core::Duration LogTail::runOnce()
{
    const bool isEmpty = m_store.current()->m_position == 0;
    const bool needsFullRead = isEmpty || m_divergedSince.has_value();
    const std::optional<ControlState> offered = m_store.offeredState();
    Core::Result<void> result = needsFullRead ? reconcileWithLog() : readNext();
    if (result && offered && !needsFullRead) {
        result = resolveOffer(*offered);
    }
    if (result) {
        if (!m_isLogUp.exchange(true)) {
            LOG(INFO) << "the control stream can be read";
        }
        m_backoff = m_settings.m_initialBackoff;
        return m_divergedSince ? m_settings.m_initialBackoff : NoWait;
    }
    m_readFailures.add();
    if (m_isLogUp.exchange(false)) {
        LOG(WARNING) << "the control stream cannot be read: " << result.error();
    }
    const Core::Duration wait = m_backoff;
    m_backoff = std::min(m_backoff * 2, m_settings.m_maximumBackoff);
    return wait;
}

void LogTail::recordDivergence(const ControlState &state)
{
    if (m_divergedSince) {
        return;
    }
    m_divergedSince = Core::Clock::now();
    m_divergences.add();
    LOG(ERROR) << "the control stream does not continue the history in force here, which ends at position " << state.m_position;
}

/// Waits for the next record. The record is not used here but read again, together with the record before it.
Core::Result<void> LogTail::waitForRecord(Platform::Offset next)
{
    BOOST_OUTCOME_TRY(m_log.read(ControlStream, next, Platform::ReadOptions{1, m_settings.m_longPoll}));
    return Core::success();
}

Core::Result<void> LogTail::readNext()
{
    const std::shared_ptr<const ControlState> state = m_store.current();
    const LogContinuation following = BOOST_OUTCOME_TRYX(readContinuation(m_log, *state));
    if (!following.m_continuesHistory) {
        recordDivergence(*state);
        return Core::success();
    }
    if (following.m_records.empty()) {
        return waitForRecord(state->m_position + 1);
    }
    if (m_store.applyRecords(state->m_chain, following.m_records) == ApplyResult::Refused) {
        recordDivergence(*state);
    }
    return Core::success();
}

Core::Result<void> LogTail::reconcileWithLog()
{
    const std::shared_ptr<const ControlState> state = m_store.current();
    Reconciliation reconciliation = BOOST_OUTCOME_TRYX(reconcile(m_log, *state));
    if (reconciliation.m_stateToAdopt) {
        m_divergedSince.reset();
        const ApplyResult result = m_store.applySnapshot(std::move(*reconciliation.m_stateToAdopt), SnapshotSource::Log);
        return result == ApplyResult::AlreadyKnown ? waitForRecord(state->m_position + 1) : Core::success();
    }
    if (!reconciliation.m_stateToRestore) {
        // Neither this process nor the log has a usable state. Wait for records, while the state subscriber asks peers.
        return waitForRecord(1);
    }
    recordDivergence(*state);
    if (Core::Clock::now() - *m_divergedSince < m_settings.m_restoreDelay) {
        return Core::success();
    }
    return appendRestore(*reconciliation.m_stateToRestore);
}

/// Handles state offered by a peer that neither the log nor its readers have: restores it into the log, or clears it once the log covers it.
Core::Result<void> LogTail::resolveOffer(const ControlState &offered)
{
    const Reconciliation reconciliation = BOOST_OUTCOME_TRYX(reconcile(m_log, offered));
    if (reconciliation.m_stateToRestore) {
        return appendRestore(*reconciliation.m_stateToRestore);
    }
    if (reconciliation.m_stateToAdopt) {
        m_store.clearOfferedState();
    }
    return Core::success();
}

Core::Result<void> LogTail::appendRestore(const ControlState &merged)
{
    const Record record = makeRestore(merged, m_settings.m_author, Core::randomIdentifier());
    BOOST_OUTCOME_TRY(m_log.append(ControlStream, encodeRecord(record)));
    m_restores.add();
    LOG(WARNING) << "restored control state into the log after position " << merged.m_position;
    return Core::success();
}

}
