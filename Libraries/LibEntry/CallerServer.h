/// @file The HTTP listener for callers.
#pragma once

#include "LibEntry/Frontend.h"

#include <memory>

namespace Poco {
class ThreadPool;
}

namespace Poco::Net {
class TCPServer;
}

namespace Entry {

class ConnectionGuard;

/**
 * Serves callers over POCO's HTTP server, a thread for each connection, up to a limit.
 *
 * A connection over the limit is told at once to come back, instead of waiting in a queue that its caller cannot see.
 */
class CallerServer
{
public:
    explicit CallerServer(Frontend &frontend);
    ~CallerServer();

    Core::Result<void> start();
    /// Ends idle connections and waits for requests that run.
    void stop();

private:
    Frontend &m_frontend;
    std::shared_ptr<ConnectionGuard> m_guard;
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

}
