/// @file Implementation of the sweep over chunks.

#include "LibStaging/ChunkIteration.h"

#include <algorithm>
#include <memory>

namespace Staging {

namespace {

/// Lives as long as a step that has not ended refers to it.
struct Sweep : std::enable_shared_from_this<Sweep>
{
    std::vector<Weights::ChunkIndex> m_chunks;
    std::size_t m_begun = 0; ///< At most the number of chunks.
    std::size_t m_ended = 0; ///< At most m_begun.
    ChunkStep m_step;
    std::function<void()> m_finished;

    void beginNext()
    {
        if (m_begun == m_chunks.size()) {
            return;
        }
        const Weights::ChunkIndex chunk = m_chunks[m_begun++];
        m_step(chunk, [self = shared_from_this()] { self->stepEnded(); });
    }

    void stepEnded()
    {
        if (++m_ended == m_chunks.size()) {
            m_finished();
            return;
        }
        beginNext();
    }
};

}

void forEachChunk(std::vector<Weights::ChunkIndex> chunks, std::size_t atOnce, ChunkStep step, std::function<void()> finished)
{
    if (chunks.empty()) {
        finished();
        return;
    }
    const std::shared_ptr<Sweep> sweep = std::make_shared<Sweep>();
    sweep->m_chunks = std::move(chunks);
    sweep->m_step = std::move(step);
    sweep->m_finished = std::move(finished);
    const std::size_t first = std::min(std::max<std::size_t>(atOnce, 1), sweep->m_chunks.size());
    for (std::size_t count = 0; count < first; ++count) {
        sweep->beginNext();
    }
}

}
