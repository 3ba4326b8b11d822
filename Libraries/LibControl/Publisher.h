/// @file Appends an operator's change to the log and reads its outcome back.
#pragma once

#include "LibControl/Records.h"
#include "LibCore/Clock.h"
#include "LibPlatform/Log.h"

namespace Control {

/**
 * Appends records for an operator and reads their outcomes back. To be used by one thread.
 *
 * The answer to an append can be lost after the append took effect. Appending again could then put a change in force twice,
 * and override another operator's change made in between. Therefore the outcome is always read from the log, where the record
 * is found by its id.
 */
class Publisher
{
public:
    explicit Publisher(Platform::Log &log);

    /// Reads the state from the log. Fails with Unavailable if the log is down or has no usable checkpoint.
    Core::Result<void> load();
    const ControlState &state() const;

    /**
     * Appends a record and returns its outcome once it was read back, accepted or refused. Must be called after load().
     *
     * Fails with Ambiguous if the record may have been appended but was not read back within @p timeout. It may still take
     * effect.
     */
    Core::Result<RecordOutcome> publish(const Record &record, Core::Duration timeout);

private:
    Core::Result<RecordOutcome> awaitOutcome(const std::string &record, Core::Instant deadline);

    Platform::Log &m_log;
    ControlState m_state;
};

}
