/// @file Traces: recorded requests with their outcomes, one JSON object per line (see docs/TESTING.md).
#pragma once

#include "LibLoad/Request.h"

#include "LibCore/Error.h"

#include <string>
#include <vector>

namespace Load {

/// Limits of a trace file.
inline constexpr std::size_t MaximumTraceRequests = 1000000;
inline constexpr std::size_t MaximumTraceLineBytes = 1 << 20;

/// Returns one line of a trace, newline included. The observed outcome is written as the expected one, so that a recording can be replayed unchanged.
std::string traceLine(const Request &request, const Observation &observation);

/// Parses one line. Fails with InvalidInput.
Core::Result<Request> parseTraceLine(const std::string &line, std::uint64_t index);

/// Reads a trace file. Fails with NotFound, or with InvalidInput and the line number.
Core::Result<std::vector<Request>> readTrace(const std::string &path);

}
