/// @file State that the workers of an agent share.
#pragma once

#include "LibEndpoint/Engine.h"
#include "LibEndpoint/LiveRelay.h"
#include "LibEndpoint/OrderDecision.h"

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Endpoint {

/// The agent's known state of its plan, weights and engine. Each component updates what it learns and reacts to the changes of the others.
struct KnownState
{
    Control::Offset m_appliedOffset = 0; ///< Offset of the control state that is applied here.
    Control::Offset m_planOffset = 0; ///< Offset of the service's plan; 0 while no plan is known.
    std::vector<std::string> m_plannedManifests; ///< Manifest digests that the plan assigns to this instance.
    std::vector<KnownWeights> m_knownWeights; ///< Weights with a verified manifest.
    EngineStatus m_engine;
    std::set<std::string> m_withdrawn; ///< Content digests that will be unloaded shortly; they are no longer attested.
    std::set<std::string> m_mismatched; ///< Content digests for which the engine reported another version.
    std::map<std::string, Control::Offset> m_loadPlanOffsets; ///< By content digest: plan offset of the order that loaded it.
    bool m_leaving = false; ///< Once true, stays true.

    bool operator==(const KnownState &) const = default;
};

/// Returns what the agent attests in this state.
std::vector<Protocol::Attestation> attestationsOf(const KnownState &state);

/// Holds the known state shared by the workers. Thread-safe.
class AgentState : public RelayHost
{
public:
    KnownState knownState() const;
    /// Number of changes so far, to be passed to waitForChange().
    std::uint64_t version() const;
    /// Applies @p apply to the state and wakes the waiting threads if the state has changed.
    void update(const std::function<void(KnownState &state)> &apply);
    /// Waits up to @p timeout until the version differs from @p seen, and returns the current version.
    std::uint64_t waitForChange(std::uint64_t seen, Core::Duration timeout) const;
    /// Wakes all waiting threads and makes later waits return immediately.
    void close();
    bool isClosed() const;

    /// Sets the callback for bytes used by live traffic. Must be called before any worker starts.
    void onLiveTraffic(std::function<void(std::uint64_t bytes)> callback);

    std::optional<std::string> servedContentDigest(const std::string &manifestDigest) const override;
    std::uint32_t capacity() const override;
    void onVersionMismatch(const std::string &contentDigest) override;
    void onLiveBytes(std::uint64_t bytes) override;

private:
    mutable std::mutex m_mutex;
    mutable std::condition_variable m_changed;
    KnownState m_knownState;
    std::uint64_t m_version = 0;
    bool m_closed = false; ///< Once true, stays true.
    std::function<void(std::uint64_t bytes)> m_liveTrafficCallback;
};

}
