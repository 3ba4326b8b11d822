/// @file One asynchronous step for each of several chunks, a few at a time.
#pragma once

#include "LibWeights/Manifest.h"

#include <functional>
#include <vector>

namespace Staging {

/// Begins the step for one chunk; calls @p done once when it has ended, or never if the whole sweep is to be dropped.
using ChunkStep = std::function<void(Weights::ChunkIndex chunk, const std::function<void()> &done)>;

/**
 * Calls @p step for every chunk, at most @p atOnce of them at the same time, and @p finished after the last one has ended.
 *
 * Each call to an engine opens a connection, which takes longer than the bytes. One after the other 48 chunks took 0.14 s, in which the engine is away.
 */
void forEachChunk(std::vector<Weights::ChunkIndex> chunks, std::size_t atOnce, ChunkStep step, std::function<void()> finished);

}
