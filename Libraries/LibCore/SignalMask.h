/// @file Holds signals back until a process handles them.
#pragma once

namespace Core {

/// Holds SIGTERM, SIGINT and SIGHUP back in this thread and in all threads started later. The kernel keeps one of each until they are released.
void holdProcessSignals();

/// Delivers the signals that were held back, and those that come later, to this thread. Their handlers must be installed.
void releaseProcessSignals();

}
