/// @file A listening socket and the connections that it has accepted.
#pragma once

#include "LibCore/Address.h"
#include "LibHttp/ServerConnection.h"

#include <memory>
#include <unordered_set>
#include <vector>

namespace Http {

/// Accepts connections on one address. Used on the loop's thread.
class Listener
{
public:
    /// Connections beyond @p maximumConnections are refused at once, so that descriptors remain for endpoints.
    Listener(EventLoop &loop, Core::Address address, std::shared_ptr<ServerContext> context, std::size_t maximumConnections);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    /// Binds the address and starts accepting. Fails with Unavailable.
    Core::Result<void> start();
    /// Accepts the connections that are established already, and no others. The connections stay open.
    void stop();
    /// Ends the connections that have been waiting for a request for @p idle.
    void endIdle(Core::Duration idle);
    /// Refuses the requests that wait for memory.
    void refuseWaiting();
    /// Ends the connections on which nothing is answered. Requests that are being read are refused.
    void endUnanswered();
    /// Returns the number of open connections.
    std::size_t connectionCount();
    /// Returns the bound port; the system chooses it if the address has port 0.
    std::uint16_t port() const;

private:
    void accept();
    void acceptLater();
    /// Accepts the connections that wait in the kernel.
    void admitBacklog();
    void admit(Socket socket);
    void removeClosed();

    const Core::Address m_address;
    const std::shared_ptr<ServerContext> m_context;
    const std::size_t m_maximumConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<ServerConnection>> m_connections; ///< May contain closed connections.
    std::shared_ptr<bool> m_isAlive; ///< False once the listener is destroyed; its callbacks can outlive it.
};

}
