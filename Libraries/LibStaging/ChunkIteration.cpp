/// @file Implementation of the iteration over chunks.

#include "LibStaging/ChunkIteration.h"

#include <algorithm>
#include <memory>

namespace Staging {

namespace {

/// State of one iteration. Kept alive by the callbacks of steps that have not ended.
struct Iteration : std::enable_shared_from_this<Iteration>
{
    std::vector<Weights::ChunkIndex> m_chunks;
    std::size_t m_startedCount = 0; ///< At most the number of chunks.
    std::size_t m_endedCount = 0; ///< At most m_startedCount.
    ChunkStep m_step;
    std::function<void()> m_onFinished;

    void startNext()
    {
        if (m_startedCount == m_chunks.size()) {
            return;
        }
        const Weights::ChunkIndex chunk = m_chunks[m_startedCount++];
        m_step(chunk, [self = shared_from_this()] { self->onStepEnded(); });
    }

    void onStepEnded()
    {
        if (++m_endedCount == m_chunks.size()) {
            m_onFinished();
            return;
        }
        startNext();
    }
};

}

void forEachChunk(std::vector<Weights::ChunkIndex> chunks, std::size_t maximumConcurrent, ChunkStep step, std::function<void()> finished)
{
    if (chunks.empty()) {
        finished();
        return;
    }
    const std::shared_ptr<Iteration> iteration = std::make_shared<Iteration>();
    iteration->m_chunks = std::move(chunks);
    iteration->m_step = std::move(step);
    iteration->m_onFinished = std::move(finished);
    const std::size_t first = std::min(std::max<std::size_t>(maximumConcurrent, 1), iteration->m_chunks.size());
    for (std::size_t count = 0; count < first; ++count) {
        iteration->startNext();
    }
}

}
