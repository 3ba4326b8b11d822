/// @file Implementation of the settings of the heap allocator.

#include "LibDaemon/HeapSettings.h"

#include <malloc.h>

namespace Daemon {

namespace {

constexpr int LargeBlockBytes = 16 << 10; ///< Smaller than a chunk and much larger than a message.

}

void returnLargeBlocks()
{
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
}

}
