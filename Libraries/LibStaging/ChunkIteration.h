/// @file Runs an asynchronous step for each of several chunks with bounded concurrency.
#pragma once

#include "LibWeights/Manifest.h"

#include <functional>
#include <vector>

namespace Staging {

/// Starts the step for one chunk. Must call @p done exactly once when the step has ended, or never to abandon the whole iteration.
using ChunkStep = std::function<void(Weights::ChunkIndex chunk, const std::function<void()> &done)>;

/**
 * Calls @p step for every chunk, with at most @p maximumConcurrent steps in progress, and calls @p finished after the last step has ended.
 *
 * Steps run concurrently because each call to an engine opens a connection, which takes longer than transferring the bytes. One after the other, 48 chunks
 * would take 0.14 s, during which the engine is unavailable.
 */
void forEachChunk(std::vector<Weights::ChunkIndex> chunks, std::size_t maximumConcurrent, ChunkStep step, std::function<void()> finished);

}
