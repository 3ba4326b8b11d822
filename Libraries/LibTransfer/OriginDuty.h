/// @file The duty that draws from the origin, over a few connections that are kept.
#pragma once

#include "LibCore/Ring.h"
#include "LibTransfer/OriginClient.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Transfer {

/// One thing to be read.
struct OriginJob
{
    std::string m_model;
    std::string m_version;
    std::uint64_t m_offset = 0;
    std::uint32_t m_length = 0; ///< 0 for the manifest.
    std::function<void(Core::Result<std::string> bytes)> m_done; ///< Called on the duty's thread, unless the duty ends before.
};

/// Thread-safe.
class OriginDuty
{
public:
    OriginDuty(Network::NetworkSettings network, Core::Address origin, Core::Duration timeout, std::uint32_t connections);
    ~OriginDuty();

    void start();
    void stop();

    /// False if too much is waiting.
    bool offer(OriginJob job);

private:
    void run();

    const Network::NetworkSettings m_network;
    const Core::Address m_origin;
    const Core::Duration m_timeout;
    const std::uint32_t m_connections;
    Core::Ring<OriginJob> m_jobs;
    std::vector<std::thread> m_threads;
};

}
