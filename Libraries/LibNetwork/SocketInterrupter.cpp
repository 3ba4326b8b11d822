/// @file Implementation of the interruption of sockets.

#include "LibNetwork/SocketInterrupter.h"

#include <Poco/Exception.h>
#include <algorithm>

namespace Network {

namespace {

void shutDown(Poco::Net::StreamSocket &socket)
{
    try {
        socket.shutdown();
    } catch (const Poco::Exception &) {
        // The peer has ended the connection already, which ends all waits as well.
    }
}

}

void SocketInterrupter::add(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_sockets.push_back(socket);
    if (m_isInterrupted) {
        shutDown(m_sockets.back());
    }
}

void SocketInterrupter::remove(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::erase(m_sockets, socket);
}

void SocketInterrupter::interrupt()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_isInterrupted = true;
    for (Poco::Net::StreamSocket &socket : m_sockets) {
        shutDown(socket);
    }
}

}
