/// @file Implementation of the origin duty: one thread for each connection.

#include "LibTransfer/OriginDuty.h"

namespace Transfer {

namespace {

constexpr std::size_t MaximumWaiting = 256;
constexpr Core::Duration IdlePause{500};

}

OriginDuty::OriginDuty(Network::NetworkSettings network, Core::Address origin, Core::Duration timeout, std::uint32_t connections)
    : m_network(std::move(network))
    , m_origin(std::move(origin))
    , m_timeout(timeout)
    , m_connections(connections)
    , m_jobs(MaximumWaiting)
{
}

OriginDuty::~OriginDuty()
{
    stop();
}

void OriginDuty::start()
{
    for (std::uint32_t index = 0; index < m_connections; ++index) {
        m_threads.emplace_back([this] { run(); });
    }
}

void OriginDuty::stop()
{
    m_jobs.close();
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

bool OriginDuty::offer(OriginJob job)
{
    return m_jobs.tryPush(std::move(job));
}

void OriginDuty::run()
{
    OriginClient client(m_network, m_origin, m_timeout);
    while (!m_jobs.isClosed()) {
        const std::optional<OriginJob> job = m_jobs.pop(IdlePause);
        if (!job) {
            continue;
        }
        job->m_done(job->m_length == 0 ? client.readManifest(job->m_model, job->m_version)
                                       : client.readRange(job->m_model, job->m_version, job->m_offset, job->m_length));
    }
}

}
