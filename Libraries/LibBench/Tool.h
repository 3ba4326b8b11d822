/// @file Runs a command-line program to completion and captures its output.
#pragma once

#include "LibBench/Process.h"

#include <string>
#include <vector>

namespace Bench {

/// Exit code and output of a program.
struct ToolOutcome
{
    int m_exitCode = 0;
    std::string m_output;

    bool operator==(const ToolOutcome &) const = default;
};

/// Runs @p program with its output redirected to @p outputFile, which must not exist yet. After @p timeout the program is killed and the call fails with
/// Timeout.
Core::Result<ToolOutcome> runTool(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile, Core::Duration timeout);

/// Returns the content of a file; empty if it cannot be read.
std::string readWholeFile(const std::string &path);

}
