/// @file Measures the time of applying records, planning and encoding, and the encoded sizes, without threads or sockets.
#pragma once

#include <ostream>

namespace Benchmark {

/// Prints the times and sizes for a fleet of @p instances instances.
void measurePureCosts(int instances, std::ostream &output);

}
