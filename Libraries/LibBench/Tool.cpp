/// @file Implementation of running command-line programs.

#include "LibBench/Tool.h"

#include <fstream>
#include <sstream>

namespace Bench {

std::string readWholeFile(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

Core::Result<ToolOutcome> runTool(const std::string &program, const std::vector<std::string> &arguments, const std::string &outputFile, Core::Duration timeout)
{
    Process process = BOOST_OUTCOME_TRYX(Process::start(program, arguments, outputFile));
    const std::optional<int> exitCode = process.wait(timeout);
    if (!exitCode) {
        return Core::makeError(Core::ErrorCode::Timeout, "run tool", program, "no end in time; so far: " + readWholeFile(outputFile));
    }
    return ToolOutcome{*exitCode, readWholeFile(outputFile)};
}

}
