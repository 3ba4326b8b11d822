/// @file Time and size of folding, planning and encoding, without threads or sockets.
#pragma once

#include <ostream>

namespace Benchmark {

void measurePureCosts(int instances, std::ostream &output);

}
