/// @file Implementation of the shared state of an agent's workers.

#include "LibEndpoint/AgentState.h"

#include <glog/logging.h>

namespace Endpoint {

std::vector<Protocol::Attestation> attestationsOf(const KnownState &state)
{
    std::set<std::string> excluded = state.m_withdrawn;
    excluded.insert(state.m_mismatched.begin(), state.m_mismatched.end());
    return attestationsOf(state.m_engine, state.m_knownWeights, excluded, state.m_loadPlanOffsets);
}

KnownState AgentState::knownState() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_knownState;
}

std::uint64_t AgentState::version() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_version;
}

void AgentState::update(const std::function<void(KnownState &)> &apply)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        KnownState changed = m_knownState;
        apply(changed);
        if (changed == m_knownState) {
            return;
        }
        m_knownState = std::move(changed);
        ++m_version;
    }
    m_changed.notify_all();
}

std::uint64_t AgentState::waitForChange(std::uint64_t seen, Core::Duration timeout) const
{
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(lock, timeout, [this, seen] { return m_closed || m_version != seen; });
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
    m_liveTrafficCallback = std::move(callback);
}

std::optional<std::string> AgentState::servedContentDigest(const std::string &manifestDigest) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (const KnownWeights &known : m_knownState.m_knownWeights) {
        if (known.m_manifestDigest != manifestDigest || m_knownState.m_mismatched.contains(known.m_contentDigest)) {
            continue;
        }
        for (const EngineModel &model : m_knownState.m_engine.m_models) {
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
    return m_knownState.m_engine.m_load.m_capacity;
}

void AgentState::onVersionMismatch(const std::string &contentDigest)
{
    update([&contentDigest](KnownState &state) { state.m_mismatched.insert(contentDigest); });
    LOG(ERROR) << "the engine was asked for " << contentDigest << " but reported another version";
}

void AgentState::onLiveBytes(std::uint64_t bytes)
{
    if (m_liveTrafficCallback) {
        m_liveTrafficCallback(bytes);
    }
}

}
