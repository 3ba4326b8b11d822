/// @file What the duties of an agent know, in one place.
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

/// Facts that one duty learns and others act upon.
struct KnownState
{
    Control::Offset m_appliedOffset = 0; ///< Control state in force here.
    Control::Offset m_planOffset = 0; ///< Of the service's plan; 0 while none is known.
    std::vector<std::string> m_plannedManifests; ///< What this instance is to hold.
    std::vector<KnownWeights> m_knownWeights; ///< Those with a verified manifest.
    EngineStatus m_engine;
    std::set<std::string> m_withdrawn; ///< Content digests that are about to be unloaded; no longer attested.
    std::set<std::string> m_mismatched; ///< Content digests under which the engine named another version.
    std::map<std::string, Control::Offset> m_loadPlanOffsets; ///< Plan offset of the order that loaded a content digest.
    bool m_leaving = false; ///< Once true, stays true.

    bool operator==(const KnownState &) const = default;
};

/// What the agent attests under these facts.
std::vector<Protocol::Attestation> attestationsOf(const KnownState &facts);

/// Shared by the duties. Thread-safe.
class AgentState : public RelayHost
{
public:
    KnownState knownState() const;
    /// Counts the changes; for waitForChange().
    std::uint64_t version() const;
    /// Applies a change; those who wait are woken if anything differs.
    void update(const std::function<void(KnownState &facts)> &apply);
    /// Waits at most @p patience for a version other than @p seen, and returns the current one.
    std::uint64_t waitForChange(std::uint64_t seen, Core::Duration patience) const;
    /// Makes every wait return at once from now on.
    void close();
    bool isClosed() const;

    /// Called for the bytes that live traffic takes. Set before any duty starts.
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
