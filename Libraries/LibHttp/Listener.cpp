/// @file Implementation of the listener.

#include "LibHttp/Listener.h"

#include <algorithm>

namespace Http {

namespace Asio = boost::asio;

namespace {

constexpr Core::Duration AcceptRetryDelay{50}; ///< After a failed accept, for example when no descriptors are left.
constexpr std::size_t RemovalInterval = 64; ///< Closed connections are removed whenever the list's length is a multiple of this.
constexpr std::size_t MaximumRefusals = 64; ///< Connections beyond the maximum that are open because their caller has not read the refusal yet.
constexpr int ServiceUnavailable = 503;
constexpr Core::Duration RefusalRetryAfter{1000}; ///< Most requests end within this time.

}

Listener::Listener(EventLoop &loop, Core::Address address, std::shared_ptr<ServerContext> context, std::size_t maximumConnections)
    : m_address(std::move(address))
    , m_context(std::move(context))
    , m_maximumConnections(maximumConnections)
    , m_acceptor(loop)
    , m_isAlive(std::make_shared<bool>(true))
{
}

Listener::~Listener()
{
    *m_isAlive = false;
}

Core::Result<void> Listener::start()
{
    try {
        const Asio::ip::tcp::endpoint endpoint(Asio::ip::make_address_v4(m_address.m_host), m_address.m_port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(Asio::ip::tcp::acceptor::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen(Asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error &error) {
        return Core::makeError(Core::ErrorCode::Unavailable, "listen", m_address.toString(), error.what());
    }
    accept();
    return Core::success();
}

void Listener::stop()
{
    if (!m_acceptor.is_open()) {
        return;
    }
    admitBacklog();
    boost::system::error_code ignored; // The listener accepts nothing any more in any case.
    m_acceptor.close(ignored);
}

void Listener::admitBacklog()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        Socket socket = m_acceptor.accept(error);
        if (!error) {
            admit(std::move(socket));
        }
    }
}

void Listener::accept()
{
    m_acceptor.async_accept([this, alive = m_isAlive](const boost::system::error_code &error, Socket socket) {
        if (!*alive) {
            return;
        }
        if (!error) {
            admit(std::move(socket)); // Also if the listener was stopped after the kernel had accepted the connection.
        }
        if (!m_acceptor.is_open()) {
            return;
        }
        if (error) {
            acceptLater();
        } else {
            accept();
        }
    });
}

void Listener::acceptLater()
{
    const std::shared_ptr<Timer> timer = std::make_shared<Timer>(m_acceptor.get_executor(), AcceptRetryDelay);
    timer->async_wait([this, alive = m_isAlive, timer](const boost::system::error_code &) {
        if (*alive && m_acceptor.is_open()) {
            accept();
        }
    });
}

void Listener::admit(Socket socket)
{
    if (m_connections.size() % RemovalInterval == 0 || m_connections.size() >= m_maximumConnections) {
        removeClosed();
    }
    if (m_connections.size() >= m_maximumConnections + MaximumRefusals) {
        return; // Closed unread, since descriptors are short.
    }
    const bool isRefused = m_connections.size() >= m_maximumConnections;
    const std::shared_ptr<ServerConnection> connection = std::make_shared<ServerConnection>(std::move(socket), m_context);
    m_connections.push_back(connection);
    if (isRefused) {
        connection->refuse(ServiceUnavailable, "too many connections", {HeaderField{"Retry-After", retryAfterText(RefusalRetryAfter)}});
    } else {
        connection->start();
    }
}

void Listener::removeClosed()
{
    std::erase_if(m_connections, [](const std::weak_ptr<ServerConnection> &weak) {
        const std::shared_ptr<ServerConnection> connection = weak.lock();
        return !connection || !connection->isOpen();
    });
}

void Listener::endIdle(Core::Duration idle)
{
    for (const std::weak_ptr<ServerConnection> &weak : m_connections) {
        const std::shared_ptr<ServerConnection> connection = weak.lock();
        if (connection) {
            connection->endIfIdleFor(idle);
        }
    }
    removeClosed();
}

void Listener::refuseWaiting()
{
    for (const std::weak_ptr<ServerConnection> &weak : m_connections) {
        const std::shared_ptr<ServerConnection> connection = weak.lock();
        if (connection) {
            connection->refuseIfWaiting();
        }
    }
}

void Listener::endUnanswered()
{
    for (const std::weak_ptr<ServerConnection> &weak : m_connections) {
        const std::shared_ptr<ServerConnection> connection = weak.lock();
        if (connection) {
            connection->endUnanswered();
        }
    }
}

std::size_t Listener::connectionCount()
{
    removeClosed();
    return m_connections.size();
}

std::uint16_t Listener::port() const
{
    return m_acceptor.local_endpoint().port();
}

}
