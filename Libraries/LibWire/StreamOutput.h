/// @file The queue of outgoing bytes of one stream, shared between the answering threads and the node's thread.
#pragma once

#include "LibCore/ByteBudget.h"
#include "LibWire/Frame.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <string>

namespace Wire {

/// Outgoing queue of one HTTP/2 stream. Thread-safe.
class StreamOutput
{
public:
    /// @p wake is called on the pushing thread whenever there is new data to send.
    /// @p memory: shared by all streams of a node.
    StreamOutput(std::size_t maximumBacklog, std::shared_ptr<Core::ByteBudget> memory, std::function<void()> wake);

    /// Queues a frame. Returns false if the stream is closed or finished, or if the backlog or the memory would exceed its limit.
    bool push(FrameKind kind, std::string_view payload);
    /// Queues the last frame regardless of the backlog; later frames are rejected.
    void finish(FrameKind kind, std::string_view payload);
    /// Drops the queued frames. Called when the stream has ended.
    void close();

    bool isClosed() const;
    bool isFinished() const;
    std::size_t backlog() const;
    bool hasData() const;

    struct TakeResult
    {
        std::size_t m_bytes = 0;
        bool m_isLast = false; ///< All data including the last frame has been taken.
    };
    /// Moves up to @p length bytes from the queue into @p buffer.
    TakeResult take(char *buffer, std::size_t length);

private:
    const std::size_t m_maximumBacklog;
    const std::function<void()> m_wake;
    mutable std::mutex m_mutex;
    std::deque<std::string> m_frames;
    std::size_t m_firstFrameOffset = 0; ///< Bytes of the first frame that have been taken; less than its size.
    Core::ByteReservation m_memory; ///< For m_backlog.
    std::size_t m_backlog = 0; ///< Sum of the frames' sizes less m_firstFrameOffset.
    bool m_finished = false; ///< The last frame is queued or taken.
    bool m_closed = false; ///< The stream has ended; m_frames is empty.
};

}
