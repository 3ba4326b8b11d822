/// @file Distributes manifests among the agents of a service, so that only a few agents read them from the origin.
#pragma once

#include "LibGossip/Membership.h"
#include "LibHttp/EventLoop.h"
#include "LibStaging/EngineControl.h"
#include "LibWire/Node.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Staging {

struct ManifestSharingSettings
{
    /// Agents that read from the origin concurrently. Its link is shared with chunks, and it accepts only a few dozen connections from the whole fleet.
    std::size_t m_originFetchers = 8;
    Core::Duration m_peerTimeout{400}; ///< After this time an agent that asked a peer reads from the origin instead. Many times the usual response time.
    /// Timeout of later requests to peers, which wait there until the peer has read the manifest from an origin that was unreachable.
    Core::Duration m_laterPeerTimeout{1000};
    std::size_t m_originAttemptPeriod = 3; ///< Every third attempt that got nothing from a peer reads from the origin.
    std::size_t m_maximumWaiters = 1024; ///< Limit on requests from peers that wait for manifests not yet known here.
    std::uint64_t m_keptVersionsPerModel = 4; ///< Number of versions kept for each model.

    bool operator==(const ManifestSharingSettings &) const = default;
};

/// Identifies a version of a model.
struct ModelVersion
{
    std::string m_model;
    std::uint64_t m_version = 0;

    auto operator<=>(const ModelVersion &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version);
};

/**
 * Returns the agent from which @p self requests the manifest of a version, or nothing if @p self reads it from the origin. @p others: the other agents of the
 * service. @p attempt: number of earlier requests to agents; each goes to another one.
 *
 * Every agent computes the same ranking. The first @p originFetchers agents read from the origin; the others are distributed evenly among them.
 */
std::optional<Core::Address> manifestSource(
    const std::string &self, const std::vector<Gossip::Member> &others, const ModelVersion &version, std::size_t originFetchers, std::size_t attempt = 0);

/**
 * Fetches manifests from the origin or from another agent, and serves them to other agents.
 *
 * Each chunk of a version is read from the origin about once. If every agent of a large service also read the manifest from the origin, these connections alone
 * would block the chunk downloads, in particular when an origin that was unreachable recovers. A manifest that is requested again after it was received may be
 * corrupt, and is read from the origin. All methods must be called on the event loop's thread; the node's handler may run on another thread.
 */
class ManifestSharing
{
public:
    using OriginFetch = std::function<void(const Core::Address &origin, const std::string &model, std::uint64_t version, Done<Weights::Manifest> done)>;

    ManifestSharing(Http::EventLoop &loop, Wire::Node &node, OriginFetch askOrigin, ManifestSharingSettings settings = {});
    ~ManifestSharing();

    ManifestSharing(const ManifestSharing &) = delete;
    ManifestSharing &operator=(const ManifestSharing &) = delete;

    /// Registers the method staging.manifest. Must be called before the node is started.
    void registerMethod();
    /// Sets the other agents of the service.
    void setAgents(const std::string &self, std::vector<Gossip::Member> others);
    /// Fetches a manifest from a peer or from the origin, and calls @p done with it or with the error.
    void fetch(const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done);

private:
    /// Fetches of one version by this agent.
    struct FetchState
    {
        std::string m_encoded; ///< The manifest; empty until it is known.
        std::size_t m_attempts = 0; ///< Attempts before the manifest was known.
    };

    struct Waiter
    {
        ModelVersion m_version;
        Wire::Responder m_responder;
    };

    void fetchFromOrigin(const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done);
    void fetchFromPeer(const Core::Address &peer, const Core::Address &origin, const ModelVersion &version, std::size_t attempt, Done<Weights::Manifest> done);
    void storeManifest(const ModelVersion &version, const Weights::Manifest &manifest);
    void handleRequest(const ModelVersion &version, const Wire::Responder &responder);

    Http::EventLoop &m_loop;
    Wire::Node &m_node;
    const OriginFetch m_originFetch;
    const ManifestSharingSettings m_settings;
    std::string m_self;
    std::vector<Gossip::Member> m_otherAgents;
    std::map<ModelVersion, FetchState> m_fetches; ///< Of the versions requested here.
    std::vector<Waiter> m_waiters; ///< At most m_maximumWaiters elements.
    std::shared_ptr<bool> m_isAlive; ///< Set to false by the destructor. Callbacks can outlive the object.
};

}
