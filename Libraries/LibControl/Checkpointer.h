/// @file Keeps a usable checkpoint on the control stream.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibPlatform/Log.h"

namespace Control {

struct CheckpointerSettings
{
    std::string m_author; ///< Name of the entry.
    Offset m_recordInterval = 64; ///< A checkpoint is due after this number of records.
    Core::Duration m_interval{60000}; ///< A checkpoint is also due after this time, so that the last one does not expire on a log with few records.
    Core::Duration m_checkInterval{500}; ///< Time between two checks.
    Core::Duration m_rankDelay{300}; ///< Each entry waits its rank times this, so that usually a single entry writes the checkpoint.
};

/// Inputs of the decision whether a checkpoint is due.
struct CheckpointStatus
{
    Offset m_position = 0; ///< Log position of the current state.
    Offset m_lastCheckpoint = 0; ///< Newest position covered by a checkpoint; 0 if there is none.
    Core::Duration m_sinceLast{0}; ///< Time since m_lastCheckpoint last changed.
    std::size_t m_rank = 0; ///< Rank of this entry among the live entries; 0 acts first.
};

/// Returns whether this entry should append a checkpoint now.
bool isCheckpointDue(const CheckpointStatus &status, const CheckpointerSettings &settings);

/**
 * Appends checkpoints to the control stream, on its own thread.
 *
 * The log keeps records for a limited time. Once the records from the last checkpoint on have expired, a new instance
 * cannot recover the state from the log. Every entry runs a checkpointer, and the rank decides which one acts first. A
 * second checkpoint is harmless.
 */
class Checkpointer
{
public:
    Checkpointer(Platform::Log &log, StateStore &store, Protocol::Member self, Telemetry::Metrics &metrics, CheckpointerSettings settings = {});
    ~Checkpointer();

    void start();
    void stop();

private:
    Core::Duration runOnce();

    Platform::Log &m_log;
    StateStore &m_store;
    const Protocol::Member m_self;
    const CheckpointerSettings m_settings;
    Telemetry::Counter &m_appended;
    Telemetry::Counter &m_failures;
    Offset m_lastCheckpoint = 0; ///< Used by the worker's thread only, like m_lastChange.
    Core::Instant m_lastChange;
    Worker m_worker;
};

/// Returns the rank of an entry among the live entries for a key. The entry with rank 0 acts first.
std::size_t rankAmongEntries(const Protocol::Member &self, std::span<const Protocol::Member> members, const std::string &key);

}
