/// @file Command line of the load tool.
#pragma once

#include "LibLoad/LoadRun.h"
#include "LibLoad/RequestSource.h"

#include <string>

/// What the command line asks for.
struct Arguments
{
    Load::LoadRunSettings m_run;
    Load::Workload m_workload;
    bool m_printsJson = false;
    std::string m_csvFile; ///< Empty: none.
    std::string m_recordFile; ///< Empty: none.
    std::string m_replayFile; ///< Empty: requests are made from m_workload.
    std::uint64_t m_allowedFailures = 0; ///< Failed requests that do not fail the run.
    bool m_printsHelp = false;
    std::string m_help;
};

/// Fails with InvalidInput.
Core::Result<Arguments> parseArguments(int argumentCount, const char *const *arguments);
