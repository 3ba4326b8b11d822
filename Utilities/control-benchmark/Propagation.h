/// @file Measures the time until a change is in force on many subscribers over real connections.
#pragma once

#include <ostream>

namespace Benchmark {

/// Runs two entries and @p subscribers agents in this process and publishes @p changes changes in sequence. Throws std::runtime_error if a node cannot start or
/// a wait times out.
void measurePropagation(int subscribers, int changes, std::ostream &output);

}
