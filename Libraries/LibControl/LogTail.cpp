/// @file Implementation of the control stream's reader.

#include "LibControl/LogTail.h"
#include "LibControl/Recovery.h"
#include "LibCore/Digest.h"
#include "LibCore/Random.h"

#include <glog/logging.h>

namespace Control {

namespace {

constexpr std::size_t PageRecords = 256;
constexpr Core::Duration AtOnce{0};

}

LogTail::LogTail(Platform::Log &log, StateStore &store, Telemetry::Metrics &metrics, LogTailSettings settings)
    : m_log(log)
    , m_store(store)
    , m_settings(std::move(settings))
    , m_readFailures(metrics.counter("control_log_read_failures_total"))
    , m_divergences(metrics.counter("control_log_diverged_total"))
    , m_restores(metrics.counter("control_log_restores_total"))
    , m_backOff(m_settings.m_firstBackOff)
{
    metrics.gauge("control_log_up", [this] { return m_isLogUp ? 1.0 : 0.0; });
}

LogTail::~LogTail()
{
    stop();
}

void LogTail::start()
{
    m_duty.start([this] { return turn(); });
}

void LogTail::stop()
{
    m_duty.stop();
}

bool LogTail::isLogUp() const
{
    return m_isLogUp;
}

Core::Duration LogTail::turn()
{
    const bool isFresh = m_store.current()->m_position == 0;
    const bool needsWhole = isFresh || m_divergedSince.has_value();
    const Core::Result<void> result = needsWhole ? readAfresh() : readOn();
    if (result) {
        if (!m_isLogUp.exchange(true)) {
            LOG(INFO) << "reading the control stream";
        }
        m_backOff = m_settings.m_firstBackOff;
        return m_divergedSince ? m_settings.m_firstBackOff : AtOnce;
    }
    m_readFailures.add();
    if (m_isLogUp.exchange(false)) {
        LOG(WARNING) << "lost the control stream: " << result.error();
    }
    const Core::Duration wait = m_backOff;
    m_backOff = std::min(m_backOff * 2, m_settings.m_longestBackOff);
    return wait;
}

bool LogTail::holdsOurHistory(const Platform::LogPage &page, const ControlState &state) const
{
    if (page.m_next <= state.m_position) {
        return false;
    }
    if (page.m_first > state.m_position) {
        // The last record that was folded has expired; nothing was missed if the very next one is the oldest.
        return page.m_first == state.m_position + 1;
    }
    return !page.m_records.empty() && Core::sha256Hex(page.m_records.front().m_body) == state.m_lastDigest;
}

Core::Result<void> LogTail::readOn()
{
    const std::shared_ptr<const ControlState> state = m_store.current();
    const Platform::Offset from = state->m_position;
    Platform::LogPage page = BOOST_OUTCOME_TRYX(m_log.read(ControlStream, from, Platform::ReadOptions{PageRecords, AtOnce}));
    if (!holdsOurHistory(page, *state)) {
        m_divergences.add();
        LOG(ERROR) << "the control stream no longer holds the history in force here: position " << from << ", log " << page.m_first << " to " << page.m_next;
        m_divergedSince = Core::Clock::now();
        return Core::success();
    }
    std::span<const Protocol::LogRecord> records(page.m_records);
    if (!records.empty()) {
        records = records.subspan(1);
    } else if (page.m_next > from + 1) {
        page = BOOST_OUTCOME_TRYX(m_log.read(ControlStream, from + 1, Platform::ReadOptions{PageRecords, AtOnce}));
        records = page.m_records;
    }
    if (records.empty()) {
        // Nothing new: wait for the next record. What is returned is read again, together with the record before it.
        BOOST_OUTCOME_TRY(m_log.read(ControlStream, from + 1, Platform::ReadOptions{1, m_settings.m_longPoll}));
        return Core::success();
    }
    const ApplyResult result = m_store.applyRecords(state->m_chain, records);
    if (result == ApplyResult::Refused) {
        m_divergences.add();
        m_divergedSince = Core::Clock::now();
    }
    return Core::success();
}

Core::Result<void> LogTail::readAfresh()
{
    FreshState fresh = BOOST_OUTCOME_TRYX(readFresh(m_log, ControlStream));
    const std::shared_ptr<const ControlState> state = m_store.current();
    if (fresh.m_state && fresh.m_state->m_applied > 0 && covers(*fresh.m_state, *state)) {
        m_divergedSince.reset();
        m_store.applySnapshot(std::move(*fresh.m_state));
        return Core::success();
    }
    if (state->m_applied == 0) {
        // Nothing here and nothing on the log that can be relied on: wait, while peers are asked by other duties.
        BOOST_OUTCOME_TRY(m_log.read(ControlStream, fresh.m_next, Platform::ReadOptions{1, m_settings.m_longPoll}));
        return Core::success();
    }
    if (!m_divergedSince) {
        m_divergedSince = Core::Clock::now();
    }
    if (Core::Clock::now() - *m_divergedSince < m_settings.m_restorePatience) {
        return Core::success();
    }
    return putBack(fresh.m_state, fresh.m_first);
}

Core::Result<void> LogTail::putBack(const std::optional<ControlState> &onLog, Platform::Offset first)
{
    const std::shared_ptr<const ControlState> state = m_store.current();
    const ControlState base = onLog ? *onLog : BOOST_OUTCOME_TRYX(foldRetained(m_log, ControlStream, *state, first));
    const Record record = makeRestore(joinStates(base, *state), m_settings.m_author, Core::randomIdentifier());
    BOOST_OUTCOME_TRY(m_log.append(ControlStream, encodeRecord(record)));
    m_restores.add();
    LOG(WARNING) << "put control state back into the log behind position " << base.m_position;
    return Core::success();
}

}
