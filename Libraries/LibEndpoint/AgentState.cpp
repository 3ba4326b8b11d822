/// @file Implementation of the facts that the duties share.

#include "LibEndpoint/AgentState.h"

#include <glog/logging.h>

namespace Endpoint {

std::vector<Protocol::Attestation> attestationsOf(const AgentFacts &facts)
{
    std::set<std::string> withheld = facts.m_withdrawn;
    withheld.insert(facts.m_distrusted.begin(), facts.m_distrusted.end());
    return attestationsOf(facts.m_engine, facts.m_known, withheld, facts.m_loadedUnder);
}

AgentFacts AgentState::facts() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_facts;
}

std::uint64_t AgentState::version() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_version;
}

void AgentState::change(const std::function<void(AgentFacts &)> &apply)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        AgentFacts changed = m_facts;
        apply(changed);
        if (changed == m_facts) {
            return;
        }
        m_facts = std::move(changed);
        ++m_version;
    }
    m_changed.notify_all();
}

std::uint64_t AgentState::waitForChange(std::uint64_t seen, Core::Duration patience) const
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, patience, [this, seen] { return m_closed || m_version != seen; });
    return m_version;
}

void AgentState::close()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_closed = true;
    }
    m_changed.notify_all();
}

bool AgentState::isClosed() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_closed;
}

void AgentState::onLiveTraffic(std::function<void(std::uint64_t)> callback)
{
    m_liveTraffic = std::move(callback);
}

std::optional<std::string> AgentState::servedContent(const std::string &manifestDigest) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const KnownWeights &known : m_facts.m_known) {
        if (known.m_manifestDigest != manifestDigest || m_facts.m_distrusted.contains(known.m_contentDigest)) {
            continue;
        }
        for (const EngineModel &model : m_facts.m_engine.m_models) {
            if (model.m_contentDigest == known.m_contentDigest && model.m_state == ModelState::Serving) {
                return known.m_contentDigest;
            }
        }
    }
    return std::nullopt;
}

std::uint32_t AgentState::capacity() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_facts.m_engine.m_load.m_capacity;
}

void AgentState::onVersionMismatch(const std::string &contentDigest)
{
    change([&contentDigest](AgentFacts &facts) { facts.m_distrusted.insert(contentDigest); });
    LOG(ERROR) << "the engine answered for " << contentDigest << " under another version";
}

void AgentState::onLiveBytes(std::uint64_t bytes)
{
    if (m_liveTraffic) {
        m_liveTraffic(bytes);
    }
}

}
