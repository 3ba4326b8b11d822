/// @file One step of following the control stream, and what to do when the stream no longer holds what was folded from it.
#pragma once

#include "LibControl/ControlState.h"
#include "LibPlatform/Log.h"

#include <optional>
#include <vector>

namespace Control {

/// What follows a state on the stream.
struct LogContinuation
{
    bool m_continuesHistory = true; ///< False if the stream does not continue the state; there are no records then.
    std::vector<Protocol::LogRecord> m_records; ///< From the state's position on, the next one first.
};

/**
 * Reads what follows @p state.
 *
 * A log that lost records hands their offsets out again. Read on from the next offset, a reader would fold records that
 * belong to another history, and differ from the others for good without noticing. So the last record that was folded is
 * read once more, and its digest must be the one remembered.
 */
Core::Result<LogContinuation> readContinuation(Platform::Log &log, const ControlState &state);

/// How a state and a stream that does not continue it come together again. At most one of the two is set.
struct Reconciliation
{
    std::optional<ControlState> m_stateToAdopt; ///< The stream covers the state: this is to be in force.
    std::optional<ControlState> m_stateToRestore; ///< It does not: this is to be put back by a Restore record, and adopted once that is read.
};

/**
 * Reads the stream afresh and compares it with the state in force; nothing is set if neither says anything.
 *
 * The rule: the state in force is only ever exchanged for one that covers it. If the stream does not, the two are joined
 * and put back. The first Restore record that had seen everything before it holds for all readers, so several entries may
 * try at once. What no instance had in force when the log lost it is lost.
 */
Core::Result<Reconciliation> reconcile(Platform::Log &log, const ControlState &inForce);

}
