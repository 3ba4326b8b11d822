/// @file Limits on the number of callers' connections and on the time for sending a request.
#pragma once

#include "LibCore/Clock.h"
#include "LibTelemetry/Metrics.h"

#include <Poco/Net/StreamSocket.h>
#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <vector>

namespace Entry {

/**
 * Tracks connections on which a request is being received, and closes those that take too long.
 *
 * A caller that sends single bytes at intervals would occupy a thread indefinitely, since each read succeeds within its timeout. A few hundred such
 * callers would block all others. Only a limit on the time of the complete request prevents this.
 */
class ConnectionGuard
{
public:
    ConnectionGuard(Core::Duration requestTime, std::size_t maximumConnections, Telemetry::Metrics &metrics);
    ~ConnectionGuard();

    void start();
    void stop();

    /// Counts a new connection. Returns false, without counting it, if the limit is reached.
    bool tryAcquire();
    void release();

    /// Starts the request timeout: the socket is idle or receives a request.
    void beginReceiving(const Poco::Net::StreamSocket &socket);
    /// Stops the request timeout: the request was received completely, or the connection has ended.
    void endReceiving(const Poco::Net::StreamSocket &socket);

    /**
     * Reads and ignores what arrives on a connection that is not counted and whose answer has been sent, until the caller closes it or a time limit passes.
     *
     * If it was closed with unread bytes, the kernel would reset it, and the caller could lose the answer. Beyond a number of such connections it is closed.
     */
    void discardUntilClosed(const Poco::Net::StreamSocket &socket);

    /// Closes every connection that is idle or receiving a request.
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
    void discardInput(Core::Instant now);

    const Core::Duration m_requestTimeout;
    const std::size_t m_maximumConnections;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_closed;
    std::atomic<std::size_t> m_connections = 0;
    std::mutex m_mutex; ///< Guards the members below, except for m_thread.
    std::condition_variable m_changed;
    bool m_stopping = false;
    std::unordered_map<const void *, ReceivingConnection> m_receiving; ///< By the socket's implementation object; at most m_maximumConnections.
    std::vector<ReceivingConnection> m_discarding; ///< Connections whose input is ignored; at most MaximumDiscarding.
    std::thread m_thread;
};

}
