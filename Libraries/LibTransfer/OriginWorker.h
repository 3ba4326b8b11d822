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
    Core::Address m_origin; ///< Empty while it is not known; the job fails then.
    OriginChunk m_chunk; ///< Of length 0 for the manifest.
    std::function<void(Core::Result<std::string> bytes)> m_done; ///< Called on the duty's thread, unless the duty ends before.
};

/// Thread-safe.
class OriginWorker
{
public:
    OriginWorker(Network::NetworkSettings network, Core::Duration timeout, std::uint32_t connections, OriginDialect dialect);
    ~OriginWorker();

    void start();
    void stop();

    /// False if too much is waiting.
    bool offer(OriginJob job);

private:
    void run();

    const Network::NetworkSettings m_network;
    const Core::Duration m_timeout;
    const std::uint32_t m_connections;
    const OriginDialect m_dialect;
    Core::Ring<OriginJob> m_jobs;
    std::vector<std::thread> m_threads;
};

}
