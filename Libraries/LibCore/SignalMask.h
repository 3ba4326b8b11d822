/// @file Holds signals back until a process handles them.
#pragma once

#include <array>
#include <csignal>

namespace Core {

/// Signals by which a process is told to end or to read its settings again.
inline constexpr std::array<int, 3> ProcessSignals{SIGTERM, SIGINT, SIGHUP};

/// Holds ProcessSignals back in this thread and in all threads started later. The kernel keeps one of each until they are released.
void holdProcessSignals();

/// Delivers the signals that were held back, and those that come later, to this thread. Their handlers must be installed.
void releaseProcessSignals();

}
