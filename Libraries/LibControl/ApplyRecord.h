/// @file How a record changes the control state. Deterministic: the log's order is the only arbiter.
#pragma once

#include "LibControl/Records.h"

namespace Control {

/**
 * Folds the record at offset @p position, which must be m_position + 1, into the state and returns what became of it.
 *
 * A malformed record is refused and passed over like any other: one bad writer must not stop every reader.
 */
RecordOutcome applyRecord(ControlState &state, Offset position, std::string_view body);

/// Largest offset budget of one burst, in copies; the origin's link carries about four.
inline constexpr double MaximumOriginCopies = 64;

/// Why a template cannot be accepted; empty if it can. The same checks hold in the command line and in the fold.
std::string templateProblem(const Template &wanted);

}
