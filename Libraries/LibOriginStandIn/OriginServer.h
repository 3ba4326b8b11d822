/// @file HTTP server of the origin stand-in.
#pragma once

#include "LibOriginStandIn/OriginStore.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <optional>
#include <thread>

namespace StandIn {

/**
 * Serves an OriginStore until it is destroyed, with one thread per connection.
 *
 * POCO's own server hands each new connection to a thread pool, where it can wait behind idle persistent connections. A download
 * would then seem slow although the origin is not.
 */
class OriginServer
{
public:
    explicit OriginServer(OriginStore &store);
    ~OriginServer();

    /// Starts to listen. Fails with Unavailable if the address is in use.
    Core::Result<void> start();

private:
    void run();

    OriginStore &m_store;
    std::optional<Poco::Net::ServerSocket> m_listener;
    std::atomic<bool> m_running = false;
    std::atomic<int> m_connections = 0; ///< Number of open connections; each has a thread that uses m_store.
    std::thread m_acceptor;
};

}
