/// @file A TCP proxy that can drop all bytes while its sockets stay open.
#pragma once

#include "LibCore/Address.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <array>
#include <atomic>
#include <list>
#include <mutex>
#include <thread>

namespace AgentFixture {

/// Forwards connections to the target. With m_dropsBytes set it simulates a connection that is lost without being closed.
class BlackholeProxy
{
public:
    explicit BlackholeProxy(const Core::Address &target)
        : m_target(target)
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0))
        , m_acceptThread([this] { accept(); })
    {
    }

    ~BlackholeProxy()
    {
        m_stopping = true;
        m_acceptThread.join();
        for (std::thread &thread : m_forwardThreads) {
            thread.join();
        }
    }

    Core::Address address() const
    {
        return Core::Address{"127.0.0.1", m_listener.address().port()};
    }

    std::atomic<bool> m_dropsBytes = false; ///< If set, bytes are read and dropped.

private:
    void accept()
    {
        while (!m_stopping) {
            if (!m_listener.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
                continue;
            }
            const Poco::Net::StreamSocket near = m_listener.acceptConnection();
            const Poco::Net::StreamSocket far{Poco::Net::SocketAddress(m_target.m_host, m_target.m_port)};
            m_forwardThreads.emplace_back([this, near, far] { forward(near, far); });
            m_forwardThreads.emplace_back([this, near, far] { forward(far, near); });
        }
    }

    void forward(Poco::Net::StreamSocket from, Poco::Net::StreamSocket to)
    {
        std::array<char, 4096> buffer;
        try {
            while (!m_stopping) {
                if (!from.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ)) {
                    continue;
                }
                const int bytes = from.receiveBytes(buffer.data(), static_cast<int>(buffer.size()));
                if (bytes <= 0) {
                    break;
                }
                if (!m_dropsBytes) {
                    to.sendBytes(buffer.data(), bytes);
                }
            }
        } catch (const Poco::Exception &) {
            // One side has closed its connection. The other side is not notified, as with a lost connection.
            return;
        }
    }

    const Core::Address m_target;
    Poco::Net::ServerSocket m_listener;
    std::atomic<bool> m_stopping = false;
    std::list<std::thread> m_forwardThreads;
    std::thread m_acceptThread; ///< Last member, because it uses the others.
};

}
