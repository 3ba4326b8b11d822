/// @file Limits the time in which a connection makes no progress.
#pragma once

#include "LibCore/Clock.h"
#include "LibHttp/EventLoop.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Http {

/**
 * A time limit for a peer, which the lateness of this process does not use up.
 *
 * If the process gets no processor time, the limit and the peer's bytes become due together. The event loop may then call the handler of the limit after that
 * of the bytes, although the latter has set a new limit, or before it. The first is detected by a generation number, the second by the bytes that wait to be
 * read.
 */
class ProgressTimer
{
public:
    /// @p socket must outlive the timer.
    explicit ProgressTimer(Socket &socket);

    /// Calls @p onExpiry after the limit unless start() or stop() is called before, or @p owner no longer exists. The owner must own this timer.
    void start(Core::Duration limit, std::weak_ptr<void> owner, std::function<void()> onExpiry);
    /// Ends the limit. Its callback is not called any more.
    void stop();

private:
    void wait(Core::Duration limit, std::weak_ptr<void> owner, std::function<void()> onExpiry);

    Socket &m_socket;
    Timer m_timer;
    std::uint64_t m_generation = 0; ///< Incremented by start() and stop(). A handler of an earlier generation does nothing.
};

}
