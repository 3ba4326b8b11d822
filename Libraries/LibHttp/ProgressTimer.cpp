/// @file Implementation of the progress timer.

#include "LibHttp/ProgressTimer.h"

#include "LibHttp/SocketOptions.h"

namespace Http {

namespace {

/// Time that the event loop gets to read bytes that had arrived when a limit expired.
constexpr Core::Duration ReadGrace{10};

}

ProgressTimer::ProgressTimer(Socket &socket)
    : m_socket(socket)
    , m_timer(socket.get_executor())
{
}

void ProgressTimer::start(Core::Duration limit, std::weak_ptr<void> owner, std::function<void()> onExpiry)
{
    ++m_generation;
    wait(limit, std::move(owner), std::move(onExpiry));
}

void ProgressTimer::stop()
{
    ++m_generation;
    boost::system::error_code ignored; // A handler that has already been queued is recognized by its generation.
    m_timer.cancel(ignored);
}

void ProgressTimer::wait(Core::Duration limit, std::weak_ptr<void> owner, std::function<void()> onExpiry)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([this, generation = m_generation, owner = std::move(owner), onExpiry = std::move(onExpiry)](const boost::system::error_code &error) {
        const std::shared_ptr<void> alive = owner.lock();
        if (error || !alive || generation != m_generation) {
            return;
        }
        if (hasUnreadInput(m_socket)) {
            wait(ReadGrace, owner, onExpiry);
            return;
        }
        onExpiry();
    });
}

}
