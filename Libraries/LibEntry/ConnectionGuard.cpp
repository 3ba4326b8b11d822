/// @file Counting and closing of callers' connections.

#include "LibEntry/ConnectionGuard.h"

#include <array>

namespace Entry {

namespace {

constexpr Core::Duration CheckInterval{200};
constexpr Core::Duration DiscardLimit{2000}; ///< For a caller to read a refusal.
constexpr std::size_t MaximumDiscarding = 64;
constexpr std::size_t DiscardBytes = 16 << 10; ///< Size of one read of ignored bytes.

/// Reads and ignores the bytes that have arrived. Returns whether the other end has closed the connection.
bool hasEndedAfterDiscard(Poco::Net::StreamSocket &socket)
{
    std::array<char, DiscardBytes> ignored{};
    try {
        while (socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            if (socket.receiveBytes(ignored.data(), static_cast<int>(ignored.size())) <= 0) {
                return true;
            }
        }
        return false;
    } catch (const Poco::Exception &) {
        return true; // The other end has reset the connection.
    }
}

}

ConnectionGuard::ConnectionGuard(Core::Duration requestTime, std::size_t maximumConnections, Telemetry::Metrics &metrics)
    : m_requestTimeout(requestTime)
    , m_maximumConnections(maximumConnections)
    , m_refused(metrics.counter("callers_connections_refused_total"))
    , m_closed(metrics.counter("callers_connections_cut_total"))
{
}

ConnectionGuard::~ConnectionGuard()
{
    stop();
}

void ConnectionGuard::start()
{
    m_thread = std::thread([this] { checkLoop(); });
}

void ConnectionGuard::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

bool ConnectionGuard::tryAcquire()
{
    if (m_connections.fetch_add(1) < m_maximumConnections) {
        return true;
    }
    m_connections.fetch_sub(1);
    m_refused.add();
    return false;
}

void ConnectionGuard::release()
{
    m_connections.fetch_sub(1);
}

void ConnectionGuard::beginReceiving(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_receiving.insert_or_assign(socket.impl(), ReceivingConnection{socket, Core::Clock::now()});
}

void ConnectionGuard::endReceiving(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_receiving.erase(socket.impl());
}

void ConnectionGuard::checkLoop()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait_for(lock, CheckInterval);
        closeTimedOut(Core::Clock::now());
        discardInput(Core::Clock::now());
    }
}

void ConnectionGuard::discardUntilClosed(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_discarding.size() < MaximumDiscarding) {
        m_discarding.push_back(ReceivingConnection{socket, Core::Clock::now()});
    }
}

void ConnectionGuard::discardInput(Core::Instant now)
{
    std::erase_if(m_discarding,
                  [now](ReceivingConnection &connection) { return now - connection.m_since >= DiscardLimit || hasEndedAfterDiscard(connection.m_socket); });
}

void ConnectionGuard::closeAll()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    closeTimedOut(Core::Instant::max());
}

void ConnectionGuard::closeTimedOut(Core::Instant now)
{
    for (std::unordered_map<const void *, ReceivingConnection>::iterator it = m_receiving.begin(); it != m_receiving.end();) {
        if (now - it->second.m_since < m_requestTimeout) {
            ++it;
            continue;
        }
        try {
            it->second.m_socket.shutdown();
        } catch (const Poco::Exception &) {
            // The connection is already closed.
        }
        m_closed.add();
        it = m_receiving.erase(it);
    }
}

}
