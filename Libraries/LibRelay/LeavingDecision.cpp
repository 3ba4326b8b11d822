/// @file Implementation of the decision whether a leaving process may begin a request.

#include "LibRelay/LeavingDecision.h"

#include <algorithm>

namespace Relay {

Core::Duration neededTime(const LeavingView &view)
{
    return std::min(view.m_untilDeadline, view.m_answerTime.value_or(view.m_untilDeadline));
}

bool endsInTime(const LeavingView &view)
{
    return neededTime(view) <= view.m_untilProcessEnds;
}

}
