/// @file Implementation of the publisher.

#include "LibControl/Publisher.h"
#include "LibControl/ApplyRecord.h"
#include "LibControl/Recovery.h"

#include <thread>

namespace Control {

namespace {

constexpr std::size_t RecordsPerPage = 256;
constexpr Core::Duration LongPoll{500};
constexpr Core::Duration RetryInterval{100};
constexpr Core::Duration CheckpointTimeout{5000};

}

Publisher::Publisher(Platform::Log &log)
    : m_log(log)
{
}

const ControlState &Publisher::state() const
{
    return m_state;
}

Core::Result<void> Publisher::load()
{
    // Between the expiry of the oldest records and the next checkpoint, a reader finds no state. Entries append a checkpoint
    // within a few check intervals.
    const Core::Instant deadline = Core::Clock::now() + CheckpointTimeout;
    RecoveredState recovered = BOOST_OUTCOME_TRYX(recoverFromLog(m_log, ControlStream));
    while (!recovered.m_state && Core::Clock::now() < deadline) {
        std::this_thread::sleep_for(RetryInterval);
        recovered = BOOST_OUTCOME_TRYX(recoverFromLog(m_log, ControlStream));
    }
    if (!recovered.m_state) {
        return Core::makeError(Core::ErrorCode::Unavailable, "read control state", "", "the log holds no usable checkpoint; an entry will append one");
    }
    m_state = std::move(*recovered.m_state);
    return Core::success();
}

Core::Result<RecordOutcome> Publisher::publish(const Record &record, Core::Duration timeout)
{
    const Core::Instant deadline = Core::Clock::now() + timeout;
    const Core::Result<Platform::Offset> appended = m_log.append(ControlStream, encodeRecord(record));
    if (!appended && appended.error().m_code != Core::ErrorCode::Ambiguous) {
        return appended.error();
    }
    return awaitOutcome(record.m_id, deadline);
}

Core::Result<RecordOutcome> Publisher::awaitOutcome(const std::string &record, Core::Instant deadline)
{
    Core::Error lastError = Core::makeError(Core::ErrorCode::Ambiguous, "read back", "", "record " + record + " did not show up in time");
    while (Core::Clock::now() < deadline) {
        const Core::Result<Platform::LogPage> page = m_log.read(ControlStream, m_state.m_position + 1, Platform::ReadOptions{RecordsPerPage, LongPoll});
        if (!page) {
            lastError.m_detail = "record " + record + " may have been appended: " + page.error().m_detail;
            std::this_thread::sleep_for(RetryInterval);
            continue;
        }
        if (page.value().m_first > m_state.m_position + 1) {
            BOOST_OUTCOME_TRYV(load());
        }
        for (const Protocol::LogRecord &entry : page.value().m_records) {
            applyRecord(m_state, entry.m_offset, entry.m_body);
        }
        const RecordOutcome *outcome = findOutcome(m_state, record);
        if (outcome) {
            return *outcome;
        }
    }
    return lastError;
}

}
