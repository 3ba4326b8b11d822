/// @file HTTP server for callers.
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
 * Serves callers with POCO's HTTP server, with one thread per connection up to a limit.
 *
 * A connection above the limit is refused at once with a retry time instead of waiting in a queue that its caller cannot see.
 */
class CallerServer
{
public:
    explicit CallerServer(Frontend &frontend);
    ~CallerServer();

    /// Fails with Unavailable if it cannot listen.
    Core::Result<void> start();
    /// Closes idle connections and waits for running requests.
    void stop();

private:
    Frontend &m_frontend;
    std::shared_ptr<ConnectionGuard> m_guard;
    std::unique_ptr<Poco::ThreadPool> m_threads;
    std::unique_ptr<Poco::Net::TCPServer> m_server;
};

}
