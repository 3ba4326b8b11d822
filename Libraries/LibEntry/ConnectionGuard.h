/// @file Bounds on callers' connections: how many, and how long one may take to send a request.
#pragma once

#include "LibCore/Clock.h"
#include "LibTelemetry/Metrics.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace Entry {

/**
 * Knows which connections are in the middle of sending a request, and cuts those that take too long.
 *
 * A caller that sends a byte now and then would hold a thread for good, since every single read of it succeeds in time; a few hundred such
 * callers would shut out all others. Only a limit on the whole request prevents this.
 */
class ConnectionGuard
{
public:
    ConnectionGuard(Core::Duration requestTime, std::size_t maximumConnections, Telemetry::Metrics &metrics);
    ~ConnectionGuard();

    void start();
    void stop();

    /// Counts a new connection; false if there are too many.
    bool tryAcquire();
    void release();

    /// The socket is idle or a request starts to arrive on it.
    void beginReceiving(const Poco::Net::StreamSocket &socket);
    /// The request has arrived whole, or the connection is done with.
    void endReceiving(const Poco::Net::StreamSocket &socket);

    /// Ends every connection that is idle or sending.
    void closeAll();

    std::size_t connections() const
    {
        return m_connections;
    }

private:
    struct ReceivingConnection
    {
        Poco::Net::StreamSocket m_socket;
        Core::Instant m_since;
    };

    void checkLoop();
    void closeTimedOut(Core::Instant now);

    const Core::Duration m_requestTimeout;
    const std::size_t m_maximumConnections;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_closed;
    std::atomic<std::size_t> m_connections = 0;
    std::mutex m_mutex; ///< Guards what follows.
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::unordered_map<const void *, ReceivingConnection> m_receiving; ///< By the socket's implementation; at most m_maximumConnections.
    std::thread m_thread;
};

}
