/// @file Ends blocking waits on sockets from another thread.
#pragma once

#include <Poco/Net/StreamSocket.h>
#include <mutex>
#include <vector>

namespace Network {

/// Shuts sockets down when their thread is to end. Thread-safe.
class SocketInterrupter
{
public:
    /// Adds a socket, which stays open until remove(). Shuts it down at once if interrupt() was called before.
    void add(const Poco::Net::StreamSocket &socket);
    void remove(const Poco::Net::StreamSocket &socket);
    /// Shuts down all sockets, and those that are added later. Their reads and writes end with an error or the end of the stream.
    void interrupt();

private:
    std::mutex m_mutex;
    bool m_isInterrupted = false;
    std::vector<Poco::Net::StreamSocket> m_sockets;
};

}
