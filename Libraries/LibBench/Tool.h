/// @file Runs a command-line program of the product to its end and keeps what it printed.
#pragma once

#include "LibBench/Process.h"

#include <string>
#include <vector>

namespace Bench {

struct ToolOutcome
{
    int m_exitCode = 0;
    std::string m_output;

    bool operator==(const ToolOutcome &) const = default;
};

/// Runs @p program; its output goes through @p outputFile, which must not exist yet. Killed with a Timeout error after @p patience.
Core::Result<ToolOutcome> runTool(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile, Core::Duration timeout);

/// Content of a file; empty if it cannot be read.
std::string readWholeFile(const std::string &path);

}
