/// @file Reads the records that continue a state, and reconciles a state with a log that no longer contains its history.
#pragma once

#include "LibControl/ControlState.h"
#include "LibPlatform/Log.h"

#include <optional>
#include <vector>

namespace Control {

/// The records that continue a state on the stream.
struct LogContinuation
{
    bool m_continuesHistory = true; ///< False if the stream does not continue the state; m_records is empty then.
    std::vector<Protocol::LogRecord> m_records; ///< In the order of the log, starting with the one after the state's position.
};

/**
 * Reads the records that follow @p state.
 *
 * A log that lost records assigns their offsets again. A reader that just continued at the next offset would apply records
 * of another history, and would permanently differ from the other readers without noticing. Therefore the last applied
 * record is read again, and its digest must match the one in the state.
 */
Core::Result<LogContinuation> readContinuation(Platform::Log &log, const ControlState &state);

/// How to reconcile a state with a stream that does not continue it. At most one of the two members is set.
struct Reconciliation
{
    std::optional<ControlState> m_stateToAdopt; ///< State of the stream, which covers the current state and replaces it.
    /// Merged state, if the stream does not cover the current one. It must be appended in a Restore record, and is adopted once that is read.
    std::optional<ControlState> m_stateToRestore;
};

/**
 * Reads the complete stream and compares it with the current state. Neither member of the result
 * is set if neither the stream nor this process has a state.
 *
 * The current state is only ever replaced by one that covers it. If the stream's state does not, the two are merged, and
 * the result is appended in a Restore record. The first Restore record whose writer had read every record before it is
 * accepted by all readers, so several entries may try at once. A change that no instance had in force when the log lost it
 * is lost.
 */
Core::Result<Reconciliation> reconcile(Platform::Log &log, const ControlState &inForce);

}
