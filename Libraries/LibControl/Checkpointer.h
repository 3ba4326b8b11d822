/// @file Keeps a usable checkpoint on the control stream.
#pragma once

#include "LibControl/StateStore.h"
#include "LibControl/Worker.h"
#include "LibPlatform/Log.h"

namespace Control {

struct CheckpointerSettings
{
    std::string m_author; ///< Name of the entry.
    Offset m_recordInterval = 64; ///< A checkpoint is due after so many records.
    Core::Duration m_interval{60000}; ///< And after this time, so that it does not expire on a quiet log.
    Core::Duration m_checkInterval{500}; ///< How often this duty looks.
    Core::Duration m_rankDelay{300}; ///< Each entry waits its rank times this, so that one usually writes for all.
};

/// What a checkpointer knows when it decides.
struct CheckpointStatus
{
    Offset m_position = 0; ///< Of the state in force.
    Offset m_lastCheckpoint = 0; ///< Newest position that a checkpoint stands for; 0 if there is none.
    Core::Duration m_sinceLast{0}; ///< Since that was first known.
    std::size_t m_rank = 0; ///< Of this entry among the live ones.
};

/// Whether this entry should append a checkpoint now.
bool isCheckpointDue(const CheckpointStatus &situation, const CheckpointerSettings &settings);

/**
 * Appends a checkpoint in time, on a thread of its own.
 *
 * Retention is limited: once the records from the last checkpoint on have expired, a fresh instance can learn nothing from
 * the log. Every entry looks after this, in order of rank; a second checkpoint does no harm.
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
    Offset m_lastCheckpoint = 0; ///< Used by the duty's thread only, as is the following.
    Core::Instant m_lastChange;
    Worker m_worker;
};

/// Rank of an entry among the live entries for a key: 0 acts first.
std::size_t rankAmongEntries(const Protocol::Member &self, std::span<const Protocol::Member> members, const std::string &key);

}
