/// @file Implementation of the control stream's reader.

#include "LibControl/LogTail.h"
#include "LibControl/LogReconciliation.h"
#include "LibControl/Recovery.h"
#include "LibCore/Random.h"

#include <glog/logging.h>

namespace Control {

namespace {

constexpr Core::Duration AtOnce{0};

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
    const bool isFresh = m_store.current()->m_position == 0;
    const bool needsWhole = isFresh || m_divergedSince.has_value();
    const std::optional<ControlState> offered = m_store.offeredState();
    Core::Result<void> result = needsWhole ? reconcileWithLog() : readNext();
    if (result && offered && !needsWhole) {
        result = resolveOffer(*offered);
    }
    if (result) {
        if (!m_isLogUp.exchange(true)) {
            LOG(INFO) << "reading the control stream";
        }
        m_backoff = m_settings.m_initialBackoff;
        return m_divergedSince ? m_settings.m_initialBackoff : AtOnce;
    }
    m_readFailures.add();
    if (m_isLogUp.exchange(false)) {
        LOG(WARNING) << "lost the control stream: " << result.error();
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
    LOG(ERROR) << "the control stream does not continue the history in force here, which ends at its position " << state.m_position;
}

/// Waits for the next record. What comes is not used, but read again together with the record before it.
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
    Reconciliation found = BOOST_OUTCOME_TRYX(reconcile(m_log, *state));
    if (found.m_stateToAdopt) {
        m_divergedSince.reset();
        const ApplyResult result = m_store.applySnapshot(std::move(*found.m_stateToAdopt), SnapshotSource::Log);
        return result == ApplyResult::AlreadyKnown ? waitForRecord(state->m_position + 1) : Core::success();
    }
    if (!found.m_stateToRestore) {
        // Nothing here and nothing on the log that can be relied on: wait, while peers are asked by other duties.
        return waitForRecord(1);
    }
    recordDivergence(*state);
    if (Core::Clock::now() - *m_divergedSince < m_settings.m_restoreDelay) {
        return Core::success();
    }
    return appendRestore(*found.m_stateToRestore);
}

/// A peer has something in force that the log does not hold, and that nobody who reads the log knew of.
Core::Result<void> LogTail::resolveOffer(const ControlState &offered)
{
    const Reconciliation found = BOOST_OUTCOME_TRYX(reconcile(m_log, offered));
    if (found.m_stateToRestore) {
        return appendRestore(*found.m_stateToRestore);
    }
    if (found.m_stateToAdopt) {
        m_store.clearOfferedState();
    }
    return Core::success();
}

Core::Result<void> LogTail::appendRestore(const ControlState &joined)
{
    const Record record = makeRestore(joined, m_settings.m_author, Core::randomIdentifier());
    BOOST_OUTCOME_TRY(m_log.append(ControlStream, encodeRecord(record)));
    m_restores.add();
    LOG(WARNING) << "put control state back into the log behind position " << joined.m_position;
    return Core::success();
}

}
