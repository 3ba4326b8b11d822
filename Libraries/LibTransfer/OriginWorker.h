/// @file The worker that reads from the origin over a few persistent connections.
#pragma once

#include "LibCore/Ring.h"
#include "LibTransfer/OriginClient.h"

#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Transfer {

enum class OriginJobKind {
    ReadManifest,
    ReadChunk,
    Probe, ///< Opens and closes a connection.
};

/// A manifest or chunk to be read, or a probe.
struct OriginJob
{
    OriginJobKind m_kind = OriginJobKind::ReadChunk;
    Core::Address m_origin; ///< Empty while unknown; the job then fails.
    OriginChunk m_chunk; ///< For ReadManifest only the model and the version, for Probe nothing.
    std::function<void(Core::Result<std::string> bytes)> m_done; ///< Called on a thread of the worker, unless the worker stops before. Probes yield no bytes.
};

/// Reads manifests and chunks from the origin on its own threads. Thread-safe.
class OriginWorker
{
public:
    OriginWorker(Network::NetworkSettings network, OriginTimeouts timeouts, std::uint32_t connections, OriginDialect dialect);
    ~OriginWorker();

    void start();
    /// Ends the reads that are under way, and the threads.
    void stop();

    /// Returns false if the queue is full.
    bool offer(OriginJob job);

private:
    void run();
    Core::Result<std::string> perform(const OriginJob &job, std::optional<OriginClient> &client);

    const Network::NetworkSettings m_network;
    const OriginTimeouts m_timeouts;
    const std::uint32_t m_connections;
    const OriginDialect m_dialect;
    Network::SocketInterrupter m_interrupter;
    Core::Ring<OriginJob> m_jobs;
    std::vector<std::thread> m_threads;
};

}
