/// @file Shared main function of the stand-in programs: command line, settings file and termination signals.
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
 * Runs a stand-in: reads the file of `--settings FILE` with @p read, then calls @p serve. @p serve starts the service, calls `wait`,
 * which returns at SIGTERM or SIGINT, and stops the service. Returns the exit code.
 */
int runProgram(int argumentCount,
               const char *const *arguments,
               const std::string &name,
               const std::function<void(Settings::Reader &)> &read,
               const std::function<Core::Result<void>(const std::function<void()> &wait)> &serve);

}
