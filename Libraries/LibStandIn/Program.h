/// @file What the stand-in programs share: command line, settings file and waiting for the signal to end.
#pragma once

#include "LibCore/Error.h"
#include "LibSettings/Reader.h"

#include <functional>
#include <string>

namespace StandIn {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailed = 1;
inline constexpr int ExitUsage = 2;

/**
 * Runs a stand-in: reads `--settings FILE` with @p read, then @p serve, which starts the work, calls @p wait (it returns
 * at SIGTERM or SIGINT) and stops it. Returns the exit code.
 */
int runProgram(int argumentCount,
               const char *const *arguments,
               const std::string &name,
               const std::function<void(Settings::Reader &)> &read,
               const std::function<Core::Result<void>(const std::function<void()> &wait)> &serve);

}
