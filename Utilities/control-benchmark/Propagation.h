/// @file Time until a change is in force on many subscribers, on real connections.
#pragma once

#include <ostream>

namespace Benchmark {

/// Two entries and @p subscribers agents in this process; @p changes changes, one after the other.
void measurePropagation(int subscribers, int changes, std::ostream &output);

}
