/// @file The HTTP side of the stand-in for the origin.
#pragma once

#include "LibOriginStandIn/OriginStore.h"

#include <Poco/Net/ServerSocket.h>
#include <atomic>
#include <optional>
#include <thread>

namespace StandIn {

/**
 * Answers requests until it is destroyed, on one thread for each connection.
 *
 * POCO's own server hands a new connection to a pool in which it can wait behind idle persistent ones; a draw would then seem
 * slow though the origin is not.
 */
class OriginServer
{
public:
    explicit OriginServer(OriginStore &store);
    ~OriginServer();

    Core::Result<void> start();

private:
    void run();

    OriginStore &m_store;
    std::optional<Poco::Net::ServerSocket> m_listener;
    std::atomic<bool> m_running = false;
    std::atomic<int> m_connections = 0; ///< Each has a thread that uses m_store.
    std::thread m_acceptor;
};

}
