/// @file What to do when the log no longer holds what was folded from it: state is kept, and put back into the log.
#pragma once

#include "LibControl/Records.h"
#include "LibPlatform/Log.h"

#include <optional>

namespace Control {

/**
 * Whether everything that was accepted in @p older is still in @p newer, or was replaced there by something later.
 *
 * A state is only ever exchanged for one that covers it. Offsets alone don't tell: a log that lost records hands their
 * offsets out again, so a larger offset may stand for a history in which an accepted change never happened.
 */
bool covers(const ControlState &newer, const ControlState &older);

/**
 * Of two histories, everything that is newest in either; @p base is what the log holds.
 *
 * Where both gave one revision to different things, @p kept wins and gets a new revision. The joined state covers both.
 */
ControlState mergeStates(const ControlState &base, const ControlState &kept);

/// A Restore record that puts @p state behind everything that it was joined with.
Record makeRestore(const ControlState &state, const std::string &author, const std::string &id);

/// What a reader found who had nothing.
struct RecoveredState
{
    std::optional<ControlState> m_state; ///< Empty if the log holds neither its first record nor a usable checkpoint.
    Platform::Offset m_firstOffset = 1;
    Platform::Offset m_nextOffset = 1;
};

/**
 * Reads the whole log as a fresh instance does: the newest usable checkpoint and every record after it.
 *
 * A checkpoint is usable if its own digest holds and the record at its position is still there with the digest that its
 * state remembers. One that a paused writer appended late fails that: either its records have expired, or the log lost the
 * history that it was made in and holds another record there.
 */
Core::Result<RecoveredState> recoverFromLog(Platform::Log &log, const std::string &stream);

/// Folds the records of the log that are left over a state that the log has a gap to.
Core::Result<ControlState> replayRetainedRecords(Platform::Log &log, const std::string &stream, ControlState state, Platform::Offset first);

}
