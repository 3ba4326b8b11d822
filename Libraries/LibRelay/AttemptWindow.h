/// @file Decides whether an attempt is begun while it can still be of use to the caller. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"

namespace Relay {

/// Time that a further attempt needs after one that failed: connecting, reading the prompt, and the way there and back.
inline constexpr Core::Duration MinimumAttemptTime{500};
/// Time that a further attempt needs after one whose endpoint was silent. The path may have been slow rather than the endpoint, and the next path may be, too.
inline constexpr Core::Duration MinimumMoveTime{1000};
/// Time in which a move that is due can find another endpoint before it comes too late.
inline constexpr Core::Duration MoveMargin{200};

/// Time before the caller leaves at which a silent further attempt is cancelled. Two paths in a row were slow, and the cancellation takes such a path as well.
inline constexpr Core::Duration CancellationTime{600};

/// How long the caller of a request goes on waiting.
struct CallerWait
{
    bool m_isStream = false;
    Core::Duration m_goal{0}; ///< Latency objective.
    Core::Duration m_gapGoal{0}; ///< Objective for pauses.
    Core::Duration m_timeLeft{0}; ///< Until the request's deadline.
    Core::Duration m_silence{0}; ///< Since the caller received the last event, or since the request arrived.

    bool operator==(const CallerWait &) const = default;
};

/// Returns the time of silence after which the caller of a stream leaves, also before the first event.
Core::Duration streamPatience(Core::Duration goal, Core::Duration gapGoal);

/// Returns the time until the caller leaves if it receives nothing.
Core::Duration untilCallerLeaves(const CallerWait &wait);

/// Returns whether another attempt may begin after one has failed.
bool mayRepeat(const CallerWait &wait);

/// Returns whether another attempt may begin in place of one whose endpoint is silent.
bool mayMove(const CallerWait &wait);

/// Returns whether a further attempt is cancelled whose endpoint is silent, so that the endpoint does not go on working after the caller has left.
bool mustCancel(const CallerWait &wait);

/// Returns @p limit, or less if a further attempt that stays silent must be cancelled before.
Core::Duration silenceBeforeCancellation(Core::Duration limit, const CallerWait &wait);

/// Returns @p limit, or less if a move at its end would come too late for the caller; never less than half of it.
Core::Duration silenceBeforeMove(Core::Duration limit, const CallerWait &wait);

}
