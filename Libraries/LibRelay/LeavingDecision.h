/// @file Decides whether a process that is leaving may still begin a request. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"

#include <optional>

namespace Relay {

/// Times of a request and of the process that has it.
struct LeavingView
{
    Core::Duration m_untilProcessEnds{0}; ///< Until the process answers what is still open.
    Core::Duration m_untilDeadline{0}; ///< At its deadline the request ends in any case.
    std::optional<Core::Duration> m_answerTime; ///< Time within which its answer ends, from being sent to an endpoint; empty if unknown.

    bool operator==(const LeavingView &) const = default;
};

/// Returns the time within which the request ends if it is sent to an endpoint now.
Core::Duration neededTime(const LeavingView &view);

/// Returns whether the request ends before the process does if it is sent to an endpoint now.
bool endsInTime(const LeavingView &view);

}
