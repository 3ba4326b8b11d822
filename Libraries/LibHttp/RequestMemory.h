/// @file Limits the bytes that requests hold, from their heads to the end of their answers.
#pragma once

#include "LibCore/ByteBudget.h"
#include "LibCore/Clock.h"
#include "LibHttp/EventLoop.h"

#include <functional>
#include <list>

namespace Http {

struct RequestMemorySettings
{
    std::size_t m_limitBytes = 48 << 20;
    std::size_t m_largeRequestBytes = 64 << 10; ///< A request that holds more than this is a large one.
    /// Fraction of the limit up to which large requests may fill the memory. The rest is left to small ones, which therefore do not wait for large ones.
    double m_largeRequestShare = 0.75;
};

/**
 * Gives memory to requests before their bodies are read.
 *
 * A request that gets none at once may wait for it unread. Requests get the memory in the order in which they began to wait, except that small ones need not
 * wait for large ones. They are granted it by the event loop and not by whoever gives bytes back, who may be in the middle of ending a request. Used on the
 * loop's thread.
 */
class RequestMemory
{
public:
    using Granted = std::function<void()>;
    using Ticket = std::uint64_t;

    RequestMemory(EventLoop &loop, RequestMemorySettings settings);
    ~RequestMemory();

    RequestMemory(const RequestMemory &) = delete;
    RequestMemory &operator=(const RequestMemory &) = delete;

    /// Returns a reservation of zero bytes for a request.
    Core::ByteReservation makeReservation() const;
    /// Enlarges a reservation. Returns false if it has to wait.
    bool tryEnlarge(Core::ByteReservation &reservation, std::size_t bytes) const;
    /// Returns whether a request could hold this many bytes if no other one held any.
    bool canEverHold(std::size_t bytes) const;
    /**
     * Lets a request wait. @p granted is called once its reservation, which must live until then or until cancel(), has been enlarged to @p bytes.
     * The reservation of a request that waits counts as held.
     */
    Ticket await(Core::ByteReservation &reservation, std::size_t bytes, Granted granted);
    void cancel(Ticket ticket);

    /// Returns how long a request that starts to wait now is expected to wait; empty if that is not known yet.
    std::optional<Core::Duration> expectedWait(std::size_t bytes, Core::Instant now) const;
    std::size_t waitingCount() const
    {
        return m_waiters.size();
    }
    const Core::ByteBudget &budget() const
    {
        return *m_budget;
    }

private:
    struct Waiter
    {
        Ticket m_ticket = 0;
        Core::ByteReservation *m_reservation = nullptr;
        std::size_t m_bytes = 0; ///< Of the reservation once it is granted.
        Granted m_granted;
    };

    /// Returns the number of bytes up to which the memory may be filled by a request that holds @p bytes.
    std::size_t ceiling(std::size_t bytes) const;
    void onGivenBack(std::size_t bytes);
    /// Lets the event loop call grantWaiting().
    void scheduleGrants();
    void grantWaiting();
    /// Removes and returns the first request that can be granted its bytes, which are then reserved.
    std::optional<Waiter> takeGrantable();

    EventLoop &m_loop;
    const RequestMemorySettings m_settings;
    const std::shared_ptr<Core::ByteBudget> m_budget;
    std::list<Waiter> m_waiters; ///< In order of arrival.
    Ticket m_lastTicket = 0;
    bool m_isScheduled = false; ///< The event loop is going to call grantWaiting().
    const std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true); ///< False once this object is destroyed; what the loop calls can outlive it.
    // The rate at which memory becomes free is only known while all of it is in use.
    Core::Instant m_saturatedSince; ///< Begin of the period over which m_givenBackBytes is counted. Valid while requests wait.
    double m_givenBackBytes = 0;
};

}
