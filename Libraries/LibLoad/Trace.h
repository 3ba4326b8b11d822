/// @file Recorded requests with their outcomes, one JSON object a line (see docs/TESTING.md).
#pragma once

#include "LibLoad/Request.h"

#include "LibCore/Error.h"

#include <string>
#include <vector>

namespace Load {

/// Limits of a trace that is read.
inline constexpr std::size_t MaximumTraceRequests = 1000000;
inline constexpr std::size_t MaximumTraceLineBytes = 1 << 20;

/// One line of a trace, newline included. The observed outcome becomes the stated one, so that a recording can be replayed as it is.
std::string traceLine(const Request &request, const Observation &observation);

/// Reads one line; fails with InvalidInput.
Core::Result<Request> parseTraceLine(const std::string &line, std::uint64_t index);

/// Reads a file; fails with InvalidInput, naming the line, or NotFound.
Core::Result<std::vector<Request>> readTrace(const std::string &path);

}
