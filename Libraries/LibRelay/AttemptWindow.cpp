/// @file Implementation of the decision whether an attempt is begun.

#include "LibRelay/AttemptWindow.h"

#include <algorithm>

namespace Relay {

Core::Duration streamPatience(Core::Duration goal, Core::Duration gapGoal)
{
    constexpr Core::Duration minimum{2000};
    constexpr std::int64_t goals = 4;
    constexpr std::int64_t gapGoals = 8;
    return std::max({minimum, goal * goals, gapGoal * gapGoals});
}

Core::Duration untilCallerLeaves(const CallerWait &wait)
{
    return wait.m_isStream ? std::min(wait.m_timeLeft, streamPatience(wait.m_goal, wait.m_gapGoal) - wait.m_silence) : wait.m_timeLeft;
}

bool mayRepeat(const CallerWait &wait)
{
    return !wait.m_isStream || untilCallerLeaves(wait) >= MinimumAttemptTime;
}

bool mayMove(const CallerWait &wait)
{
    return !wait.m_isStream || untilCallerLeaves(wait) >= MinimumMoveTime;
}

bool mustCancel(const CallerWait &wait)
{
    return wait.m_isStream && untilCallerLeaves(wait) <= CancellationTime;
}

Core::Duration silenceBeforeCancellation(Core::Duration limit, const CallerWait &wait)
{
    return wait.m_isStream ? std::clamp(untilCallerLeaves(wait) - CancellationTime, Core::Duration(0), limit) : limit;
}

Core::Duration silenceBeforeMove(Core::Duration limit, const CallerWait &wait)
{
    return wait.m_isStream ? std::max(limit / 2, std::min(limit, untilCallerLeaves(wait) - MinimumMoveTime - MoveMargin)) : limit;
}

}
