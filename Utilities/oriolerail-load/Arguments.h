/// @file Command line of the load tool.
#pragma once

#include "LibLoad/LoadRun.h"
#include "LibLoad/RequestSource.h"

#include <string>

/// Parsed command line.
struct Arguments
{
    Load::LoadRunSettings m_run;
    Load::Workload m_workload;
    bool m_printsJson = false; ///< Prints the report as JSON instead of text.
    std::string m_csvFile; ///< Path of the CSV output; empty for none.
    std::string m_recordFile; ///< Path of the recorded trace; empty for none.
    std::string m_replayFile; ///< Path of the trace to replay; if empty, requests are generated from m_workload.
    std::uint64_t m_allowedFailures = 0; ///< Number of failed requests up to which the run still passes.
    bool m_printsHelp = false;
    std::string m_help;
};

/// Parses the command line. Fails with InvalidInput.
Core::Result<Arguments> parseArguments(int argumentCount, const char *const *arguments);
