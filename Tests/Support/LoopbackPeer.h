/// @file Scripted clients and servers, for tests that need a peer which violates the protocol.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibHttp/EventLoop.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <memory>
#include <string>

namespace TestSupport {

inline boost::asio::ip::tcp::endpoint loopback(std::uint16_t port)
{
    return boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), port);
}

/// Runs the loop until @p done returns true. Returns false if this takes longer than @p limit.
inline bool runUntil(Http::EventLoop &loop, const std::function<bool()> &done, std::chrono::milliseconds limit = std::chrono::seconds(10))
{
    const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
    loop.restart();
    while (!done()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        loop.run_for(std::chrono::milliseconds(2));
        loop.restart();
    }
    return true;
}

/// A client that sends raw bytes and collects the bytes that it receives.
class RawCaller
{
public:
    RawCaller(Http::EventLoop &loop, std::uint16_t port)
        : RawCaller(loop, Core::Address{"127.0.0.1", port})
    {
    }

    RawCaller(Http::EventLoop &loop, const Core::Address &address)
        : m_socket(loop)
    {
        m_socket.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address_v4(address.m_host), address.m_port));
        read();
    }

    void send(const std::string &bytes)
    {
        boost::asio::write(m_socket, boost::asio::buffer(bytes));
    }

    /// Sends while the loop runs, for more than the kernel holds. A peer that reads no more ends it.
    void sendInBackground(const std::string &bytes)
    {
        const std::shared_ptr<std::string> held = std::make_shared<std::string>(bytes);
        boost::asio::async_write(m_socket, boost::asio::buffer(*held), [held](const boost::system::error_code &, std::size_t) {});
    }

    void close()
    {
        m_socket.close();
    }

    const std::string &received() const
    {
        return m_received;
    }

    bool isClosed() const
    {
        return m_isClosed;
    }

    /// Returns whether the peer closed the connection with a TCP reset.
    bool isReset() const
    {
        return m_isReset;
    }

private:
    void read()
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer), [this](const boost::system::error_code &error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) {
                return;
            }
            if (error) {
                m_isClosed = true;
                m_isReset = error != boost::asio::error::eof;
                return;
            }
            m_received.append(m_buffer.data(), size);
            read();
        });
    }

    Http::Socket m_socket;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    bool m_isClosed = false;
    bool m_isReset = false;
};

/// One accepted connection of a ScriptedServer.
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection>
{
public:
    explicit ScriptedConnection(Http::Socket socket)
        : m_socket(std::move(socket))
    {
    }

    /// The request as received, head and body.
    const std::string &request() const
    {
        return m_request;
    }

    void send(const std::string &bytes)
    {
        boost::system::error_code ignored; // The peer may have disconnected, which the test detects at its own end.
        boost::asio::write(m_socket, boost::asio::buffer(bytes), ignored);
    }

    void close()
    {
        m_socket.close();
    }

    /// Closes the connection with a TCP reset.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    /// Ends what this side sends, in order. The connection stays open.
    void shutDownSending()
    {
        boost::system::error_code ignored; // The peer may have disconnected.
        m_socket.shutdown(Http::Socket::shutdown_send, ignored);
    }

    /// Leaves the rest of the request unread.
    void stopReading()
    {
        m_isReading = false;
    }

    /// Runs the action after the delay, at once if it is 0.
    void after(Core::Duration delay, const std::function<void()> &action)
    {
        if (delay.count() == 0) {
            action();
            return;
        }
        const std::shared_ptr<Http::Timer> timer = std::make_shared<Http::Timer>(m_socket.get_executor(), delay);
        timer->async_wait([timer, action](const boost::system::error_code &) { action(); });
    }

    bool isDisconnected() const
    {
        return m_isDisconnected;
    }

    void readRequest(std::function<void()> onRequest)
    {
        m_socket.async_read_some(boost::asio::buffer(m_buffer),
                                 [self = shared_from_this(), onRequest = std::move(onRequest)](const boost::system::error_code &error, std::size_t size) {
                                     if (error) {
                                         self->m_isDisconnected = true;
                                         return;
                                     }
                                     self->m_request.append(self->m_buffer.data(), size);
                                     const bool isHeadComplete = !self->m_requestDelivered && self->m_request.find("\r\n\r\n") != std::string::npos;
                                     if (isHeadComplete) {
                                         self->m_requestDelivered = true;
                                         onRequest();
                                     }
                                     if (self->m_isReading) {
                                         self->readRequest(onRequest);
                                     }
                                 });
    }

private:
    Http::Socket m_socket;
    std::array<char, 4096> m_buffer{};
    std::string m_request;
    bool m_requestDelivered = false;
    bool m_isReading = true;
    bool m_isDisconnected = false;
};

/// Accepts connections and passes each to the script once the head of its request has been received.
class ScriptedServer
{
public:
    using Script = std::function<void(const std::shared_ptr<ScriptedConnection> &connection)>;

    ScriptedServer(Http::EventLoop &loop, Script script)
        : m_acceptor(loop, loopback(0))
        , m_script(std::move(script))
    {
        accept();
    }

    std::uint16_t port() const
    {
        return m_acceptor.local_endpoint().port();
    }

    std::size_t connections() const
    {
        return m_connections;
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code &error, Http::Socket socket) {
            if (error) {
                return;
            }
            ++m_connections;
            const std::shared_ptr<ScriptedConnection> connection = std::make_shared<ScriptedConnection>(std::move(socket));
            connection->readRequest([this, connection] { m_script(connection); });
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::size_t m_connections = 0;
};

}
