/// @file An entry's reader of the control stream.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibPlatform/Log.h"

#include <atomic>

namespace Control {

struct LogTailSettings
{
    std::string m_author; ///< Name of the process, used as the author of Restore records.
    Core::Duration m_longPoll{1000}; ///< How long a read waits for the next record.
    Core::Duration m_initialBackoff{100};
    Core::Duration m_maximumBackoff{2000};
    /// Time to receive state from peers before state is restored into a log that lost records, so that the newest state is restored.
    Core::Duration m_restoreDelay{2000};
};

/**
 * Applies the control stream to the store, on its own thread.
 *
 * While the log is down or slow, it counts the failures and backs off, and the process continues with the state that it
 * has. If the log no longer contains the history in force, the state is kept, and it is restored into the log after a delay
 * in which peers can send their state.
 */
class LogTail
{
public:
    LogTail(Platform::Log &log, StateStore &store, Telemetry::Metrics &metrics, LogTailSettings settings = {});
    ~LogTail();

    void start();
    void stop();

    /// Returns whether the last read succeeded.
    bool isLogUp() const;

private:
    Core::Duration runOnce();
    Core::Result<void> readNext();
    Core::Result<void> reconcileWithLog();
    Core::Result<void> resolveOffer(const ControlState &offered);
    Core::Result<void> appendRestore(const ControlState &merged);
    Core::Result<void> waitForRecord(Platform::Offset next);
    void recordDivergence(const ControlState &state);

    Platform::Log &m_log;
    StateStore &m_store;
    const LogTailSettings m_settings;
    Telemetry::Counter &m_readFailures;
    Telemetry::Counter &m_divergences;
    Telemetry::Counter &m_restores;
    std::atomic<bool> m_isLogUp = false;
    Core::Duration m_backoff; ///< Used by the worker's thread only, like m_divergedSince.
    std::optional<Core::Instant> m_divergedSince;
    Worker m_worker;
};

}
