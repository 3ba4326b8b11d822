/// @file Settings of the heap allocator.
#pragma once

namespace Daemon {

/**
 * Makes the allocator return blocks of the size of a chunk of weights or of a large request to the system as soon as they are freed.
 *
 * Processes allocate and free chunks, copies of chunks in transfer, complete frames and bodies of requests. In the allocator's arenas each size leaves gaps
 * that other sizes do not fit into. A process would keep several times the memory that it uses, and could be ended for memory that it has freed.
 */
void returnLargeBlocks();

}
