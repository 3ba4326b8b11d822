/// @file Implementation of a stream's outgoing queue, and of the responder on top of it.

#include "LibWire/StreamOutput.h"
#include "LibWire/Call.h"

#include <algorithm>
#include <cstring>

namespace Wire {

StreamOutput::StreamOutput(std::size_t maximumBacklog, std::shared_ptr<Core::ByteBudget> memory, std::function<void()> wake)
    : m_maximumBacklog(maximumBacklog)
    , m_wake(std::move(wake))
    , m_memory(std::move(memory))
{
}

bool StreamOutput::push(FrameKind kind, std::string_view payload)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_closed || m_finished || m_backlog + payload.size() > m_maximumBacklog) {
            return false;
        }
        std::string frame = encodeFrame(kind, payload);
        if (!m_memory.tryResize(m_backlog + frame.size())) {
            return false;
        }
        m_backlog += frame.size();
        m_frames.push_back(std::move(frame));
    }
    m_wake();
    return true;
}

void StreamOutput::finish(FrameKind kind, std::string_view payload)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_closed || m_finished) {
            return;
        }
        m_finished = true;
        m_frames.push_back(encodeFrame(kind, payload));
        m_backlog += m_frames.back().size();
        m_memory.resize(m_backlog);
    }
    m_wake();
}

void StreamOutput::close()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_closed = true;
    m_frames.clear();
    m_firstFrameOffset = 0;
    m_backlog = 0;
    m_memory.resize(0);
}

bool StreamOutput::isClosed() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_closed;
}

bool StreamOutput::isFinished() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_finished;
}

std::size_t StreamOutput::backlog() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_backlog;
}

bool StreamOutput::hasData() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !m_frames.empty();
}

StreamOutput::TakeResult StreamOutput::take(char *buffer, std::size_t length)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    TakeResult taken;
    while (taken.m_bytes < length && !m_frames.empty()) {
        const std::string &head = m_frames.front();
        const std::size_t bytes = std::min(length - taken.m_bytes, head.size() - m_firstFrameOffset);
        std::memcpy(buffer + taken.m_bytes, head.data() + m_firstFrameOffset, bytes);
        taken.m_bytes += bytes;
        m_firstFrameOffset += bytes;
        m_backlog -= bytes;
        if (m_firstFrameOffset == head.size()) {
            m_frames.pop_front();
            m_firstFrameOffset = 0;
        }
    }
    m_memory.resize(m_backlog);
    taken.m_isLast = m_finished && m_frames.empty();
    return taken;
}

namespace {

/// Wraps an output so that it ends with an error if the last reference is dropped before it is finished.
std::shared_ptr<StreamOutput> withFinishGuard(std::shared_ptr<StreamOutput> output)
{
    StreamOutput *raw = output.get();
    return std::shared_ptr<StreamOutput>(raw, [output](StreamOutput *) {
        if (!output->isFinished()) {
            output->finish(FrameKind::Error, encodeError(Core::makeError(Core::ErrorCode::Internal, "answer call", "", "the handler gave no answer")));
        }
    });
}

}

Responder::Responder(std::shared_ptr<StreamOutput> output)
    : m_output(withFinishGuard(std::move(output)))
{
}

bool Responder::send(std::string frame) const
{
    return m_output->push(FrameKind::Message, frame);
}

void Responder::finish() const
{
    m_output->finish(FrameKind::End, {});
}

void Responder::fail(const Core::Error &error) const
{
    m_output->finish(FrameKind::Error, encodeError(error));
}

void Responder::reply(std::string frame) const
{
    if (send(std::move(frame))) {
        finish();
        return;
    }
    fail(Core::makeError(Core::ErrorCode::Overloaded, "answer call", "", "the answer exceeds the stream's backlog"));
}

bool Responder::isCancelled() const
{
    return m_output->isClosed();
}

std::size_t Responder::backlog() const
{
    return m_output->backlog();
}

}
