/// @file Application of records to the control state. It is deterministic: only the order of the log decides between competing changes.
#pragma once

#include "LibControl/Records.h"

namespace Control {

/**
 * Applies the record at log offset @p position, which must be m_position + 1, to the state and returns its outcome.
 *
 * A malformed record is refused and skipped like any other refused record: one faulty writer must not stop every reader.
 */
RecordOutcome applyRecord(ControlState &state, Offset position, std::string_view body);

/// Largest origin budget of one burst, in copies of the weights. The origin's link carries about four copies within the burst window.
inline constexpr double MaximumOriginCopies = 64;

/// Returns why a template cannot be accepted; empty if it can. The command line and applyRecord() make the same checks.
std::string templateProblem(const Template &wanted);

}
