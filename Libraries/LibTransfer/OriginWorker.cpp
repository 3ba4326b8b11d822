/// @file Implementation of the origin worker: one thread for each connection.

#include "LibTransfer/OriginWorker.h"

namespace Transfer {

namespace {

constexpr std::size_t MaximumWaiting = 256;
/**
 * A connection without a job for this long is closed. The origin limits the connections of the whole fleet: if each of 99 agents kept two connections to an
 * origin that accepts 78, the agents without a connection would be locked out permanently, and after a power failure no engine would get its weights.
 * Consecutive downloads are a few tens of milliseconds apart.
 */
constexpr Core::Duration IdleConnectionTimeout{200};

}

OriginWorker::OriginWorker(Network::NetworkSettings network, OriginTimeouts timeouts, std::uint32_t connections, OriginDialect dialect)
    : m_network(std::move(network))
    , m_timeouts(timeouts)
    , m_connections(connections)
    , m_dialect(std::move(dialect))
    , m_jobs(MaximumWaiting)
{
}

OriginWorker::~OriginWorker()
{
    stop();
}

void OriginWorker::start()
{
    for (std::uint32_t index = 0; index < m_connections; ++index) {
        m_threads.emplace_back([this] { run(); });
    }
}

void OriginWorker::stop()
{
    m_jobs.close();
    m_interrupter.interrupt();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

bool OriginWorker::offer(OriginJob job)
{
    return m_jobs.tryPush(std::move(job));
}

void OriginWorker::run()
{
    std::optional<OriginClient> client;
    while (!m_jobs.isClosed()) {
        const std::optional<OriginJob> job = m_jobs.pop(IdleConnectionTimeout);
        if (!job) {
            client.reset();
            continue;
        }
        job->m_done(perform(*job, client));
    }
}

Core::Result<std::string> OriginWorker::perform(const OriginJob &job, std::optional<OriginClient> &client)
{
    if (job.m_origin.isEmpty()) {
        return Core::makeError(Core::ErrorCode::Unavailable, "read from origin", "", "no origin is known");
    }
    if (!client || client->origin() != job.m_origin) {
        client.emplace(m_network, job.m_origin, m_timeouts, m_dialect, m_interrupter);
    }
    switch (job.m_kind) {
    case OriginJobKind::ReadManifest:
        return client->readManifest(job.m_chunk.m_model, job.m_chunk.m_version);
    case OriginJobKind::ReadChunk:
        return client->readChunk(job.m_chunk);
    case OriginJobKind::Probe:
        break;
    }
    BOOST_OUTCOME_TRYV(client->probe());
    return std::string();
}

}
