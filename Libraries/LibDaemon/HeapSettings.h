/// @file Settings of the heap allocator.
#pragma once

namespace Daemon {

/**
 * Makes the allocator return blocks of the size of a chunk of weights to the system as soon as they are freed.
 *
 * Several threads allocate and free chunks, copies of chunks in transfer and complete frames. In the allocator's arenas each size leaves gaps that other
 * sizes do not fit into. The process would keep several times the memory that it uses, and beside an engine memory is scarce.
 */
void returnLargeBlocks();

}
