/// @file How the agents of a service get the manifest of a version without all of them asking the origin.
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
    std::size_t m_originFetchers = 16; ///< Agents that ask the origin at once; it takes some dozens of connections from the whole fleet.
    Core::Duration m_peerTimeout{400}; ///< After it an agent that asked a peer asks the origin: many times what an answer takes.
    std::size_t m_maximumWaiters = 1024; ///< Peers that wait for manifests which are not known here yet.
    std::uint64_t m_keptVersionsPerModel = 4; ///< Of each model.

    bool operator==(const ManifestSharingSettings &) const = default;
};

/// A version of a model.
struct ModelVersion
{
    std::string m_model;
    std::uint64_t m_version = 0;

    auto operator<=>(const ModelVersion &) const = default;

    MSGPACK_DEFINE_ARRAY(m_model, m_version);
};

/**
 * The agent that @p self asks for the manifest of a version; empty if it asks the origin. @p others: the other agents of the service. All agents rank each
 * other alike: the first ones ask the origin, and the rest are dealt out among these.
 */
std::optional<Core::Address>
manifestSource(const std::string &self, const std::vector<Gossip::Member> &others, const ModelVersion &version, std::size_t originAskers);

/**
 * Fetches manifests from the origin or from another agent, and hands them on.
 *
 * The chunks of a version leave the origin about once, but if each agent of a large service asked for the manifest itself, their connections alone would
 * shut the draws out. A peer is asked once for each version: one that has no answer may be cut off, and what it gave may be spoilt. Used on the loop's
 * thread, but for the node's handler.
 */
class ManifestSharing
{
public:
    using OriginFetch = std::function<void(const Core::Address &origin, const std::string &model, std::uint64_t version, Done<Weights::Manifest> done)>;

    ManifestSharing(Http::EventLoop &loop, Wire::Node &node, OriginFetch askOrigin, ManifestSharingSettings settings = {});
    ~ManifestSharing();

    ManifestSharing(const ManifestSharing &) = delete;
    ManifestSharing &operator=(const ManifestSharing &) = delete;

    /// Registers the method staging.manifest; before the node is started.
    void registerMethod();
    /// Tells who the other agents of the service are.
    void setAgents(const std::string &self, std::vector<Gossip::Member> others);
    void fetch(const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done);

private:
    struct Waiter
    {
        ModelVersion m_version;
        Wire::Responder m_responder;
    };

    void fetchFromOrigin(const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done);
    void fetchFromPeer(const Core::Address &peer, const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done);
    void storeManifest(const ModelVersion &version, const Weights::Manifest &manifest);
    void handleRequest(const ModelVersion &version, const Wire::Responder &responder);

    Http::EventLoop &m_loop;
    Wire::Node &m_node;
    const OriginFetch m_originFetch;
    const ManifestSharingSettings m_settings;
    std::string m_self;
    std::vector<Gossip::Member> m_otherAgents;
    std::map<ModelVersion, std::string> m_manifests; ///< Those asked for here, with the encoded manifest; empty until it is known.
    std::vector<Waiter> m_waiters; ///< At most m_mostWaiting.
    std::shared_ptr<bool> m_isAlive; ///< False once the object is gone; answers can outlive it.
};

}
