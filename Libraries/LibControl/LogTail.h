/// @file An entry's reader of the control stream.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibPlatform/Log.h"

#include <atomic>

namespace Control {

struct LogTailSettings
{
    std::string m_author; ///< Name of the process, for records that put state back.
    Core::Duration m_longPoll{1000}; ///< How long a read waits for the next record.
    Core::Duration m_initialBackoff{100};
    Core::Duration m_maximumBackoff{2000};
    /// How long peers are heard before state is put back into a log that lost records, so that the newest of all is put back.
    Core::Duration m_restoreDelay{2000};
};

/**
 * Folds the control stream into the store, on a thread of its own.
 *
 * The log can be down or slow; then this duty counts and backs off, and the process goes on with the state that it has.
 * If the log no longer holds the history in force, state is kept, and put back after peers have been heard.
 */
class LogTail
{
public:
    LogTail(Platform::Log &log, StateStore &store, Telemetry::Metrics &metrics, LogTailSettings settings = {});
    ~LogTail();

    void start();
    void stop();

    /// Whether the last read succeeded.
    bool isLogUp() const;

private:
    Core::Duration runOnce();
    Core::Result<void> readNext();
    Core::Result<void> reconcileWithLog();
    Core::Result<void> resolveOffer(const ControlState &offered);
    Core::Result<void> appendRestore(const ControlState &joined);
    Core::Result<void> waitForRecord(Platform::Offset next);
    void recordDivergence(const ControlState &state);

    Platform::Log &m_log;
    StateStore &m_store;
    const LogTailSettings m_settings;
    Telemetry::Counter &m_readFailures;
    Telemetry::Counter &m_divergences;
    Telemetry::Counter &m_restores;
    std::atomic<bool> m_isLogUp = false;
    Core::Duration m_backoff; ///< Used by the duty's thread only, as are the following.
    std::optional<Core::Instant> m_divergedSince;
    Worker m_worker;
};

}
