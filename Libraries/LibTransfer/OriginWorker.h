/// @file The worker that reads from the origin over a few persistent connections.
#pragma once

#include "LibCore/Ring.h"
#include "LibTransfer/OriginClient.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Transfer {

/// A manifest or chunk to be read.
struct OriginJob
{
    Core::Address m_origin; ///< Empty while unknown; the job then fails.
    OriginChunk m_chunk; ///< Has length 0 if the manifest is to be read.
    std::function<void(Core::Result<std::string> bytes)> m_done; ///< Called on a thread of the worker, unless the worker stops before.
};

/// Reads manifests and chunks from the origin on its own threads. Thread-safe.
class OriginWorker
{
public:
    OriginWorker(Network::NetworkSettings network, Core::Duration timeout, std::uint32_t connections, OriginDialect dialect);
    ~OriginWorker();

    void start();
    void stop();

    /// Returns false if the queue is full.
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
