/// @file Recovery of state from the log, and restoring state into a log that no longer contains the history it was built from.
#pragma once

#include "LibControl/Records.h"
#include "LibPlatform/Log.h"

#include <optional>

namespace Control {

/**
 * Returns whether everything that was accepted in @p older is still in @p newer, or was replaced there by something newer.
 *
 * A state is only ever replaced by one that covers it. Comparing offsets is not enough: a log that lost records assigns
 * their offsets again, so a larger offset may belong to a history in which an accepted change never happened.
 */
bool covers(const ControlState &newer, const ControlState &older);

/**
 * Merges the states of two histories, taking what is newest in either. @p base is the state of the log.
 *
 * Where the histories assigned one revision to different things, @p kept takes precedence and gets a new revision. The
 * merged state covers both.
 */
ControlState mergeStates(const ControlState &base, const ControlState &kept);

/// Returns a Restore record that restores the merged state @p state directly after the log's records that were merged into it.
Record makeRestore(const ControlState &state, const std::string &author, const std::string &id);

/// State that a reader without prior state recovered from the log.
struct RecoveredState
{
    std::optional<ControlState> m_state; ///< Empty if the log contains neither its first record nor a usable checkpoint.
    Platform::Offset m_firstOffset = 1; ///< Offset of the oldest record in the log.
    Platform::Offset m_nextOffset = 1; ///< Offset after the last record that was read.
};

/**
 * Reads the complete log as a new instance does: the newest usable checkpoint and every record after it.
 *
 * A checkpoint is usable if it matches its own digest, and if the log still has the record at the checkpoint's position,
 * with the digest that the checkpoint's state contains. A checkpoint that a paused writer appended late fails this: either
 * the record has expired, or the log lost the history in which the checkpoint was made and has another record at that
 * position.
 *
 * Fails with Unavailable if records expire before they are read in every one of several attempts.
 */
Core::Result<RecoveredState> recoverFromLog(Platform::Log &log, const std::string &stream);

/// Applies the records that the log still has, from offset @p first on, to a state even if records between the two have expired.
/// Fails with NotFound if a record expires before it is read.
Core::Result<ControlState> replayRetainedRecords(Platform::Log &log, const std::string &stream, ControlState state, Platform::Offset first);

}
