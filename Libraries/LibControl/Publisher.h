/// @file How an operator's change gets onto the log, and how its outcome is learned.
#pragma once

#include "LibControl/Records.h"
#include "LibCore/Clock.h"
#include "LibPlatform/Log.h"

namespace Control {

/**
 * Appends records for an operator and reads back what became of them. One thread.
 *
 * An append's answer can be lost after it took effect. Appending again could then put a change in force twice, over
 * someone else's that came between. So the outcome is always taken from the log, where the record's id is looked for.
 */
class Publisher
{
public:
    explicit Publisher(Platform::Log &log);

    /// Reads the state in force. Fails with Unavailable if the log is down or holds no usable checkpoint.
    Core::Result<void> load();
    const ControlState &state() const;

    /**
     * Appends and returns once the record was read back, accepted or refused. After load() only.
     *
     * Ambiguous: the answer was lost and the record did not show up within @p patience; it may still do so.
     */
    Core::Result<RecordOutcome> publish(const Record &record, Core::Duration patience);

private:
    Core::Result<RecordOutcome> awaitOutcome(const std::string &record, Core::Instant deadline);

    Platform::Log &m_log;
    ControlState m_state;
};

}
