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
    /// @p maximumConnections: further ones are closed at once, so that descriptors remain for endpoints.
    Listener(EventLoop &loop, Core::Address address, std::shared_ptr<ServerContext> context, std::size_t maximumConnections);
    ~Listener();

    Listener(const Listener &) = delete;
    Listener &operator=(const Listener &) = delete;

    Core::Result<void> start();
    /// Takes no further connections.
    void stop();
    /// Closes the connections that carry no request.
    void closeIdle();
    std::size_t connectionCount();
    /// The port that was bound, which the system chose if the address named port 0.
    std::uint16_t port() const;

private:
    void accept();
    void removeClosed();

    const Core::Address m_address;
    const std::shared_ptr<ServerContext> m_context;
    const std::size_t m_maximumConnections;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<ServerConnection>> m_connections; ///< May name some that have closed.
    std::shared_ptr<bool> m_isAlive; ///< False once the listener is gone; its callbacks can outlive it.
};

}
