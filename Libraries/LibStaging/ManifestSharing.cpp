/// @file Implementation of manifest sharing.

#include "LibStaging/ManifestSharing.h"

#include "LibCore/Random.h"
#include "LibWire/Pack.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace Staging {

namespace {

constexpr const char *ManifestMethod = "staging.manifest";

bool isManifestOf(const Weights::Manifest &manifest, const ModelVersion &version)
{
    return manifest.m_model == version.m_model && manifest.m_version == std::to_string(version.m_version);
}

}

std::optional<Core::Address>
manifestSource(const std::string &self, const std::vector<Gossip::Member> &others, const ModelVersion &version, std::size_t originFetchers, std::size_t attempt)
{
    const std::string key = version.m_model + "/" + std::to_string(version.m_version);
    const std::uint64_t ownWeight = Core::rendezvousWeight(key, self);
    std::vector<std::pair<std::uint64_t, const Gossip::Member *>> rankedBefore;
    for (const Gossip::Member &other : others) {
        const std::uint64_t weight = Core::rendezvousWeight(key, other.m_id);
        if (weight > ownWeight) {
            rankedBefore.emplace_back(weight, &other);
        }
    }
    if (rankedBefore.size() < originFetchers) {
        return std::nullopt;
    }
    const std::ptrdiff_t sourceRank = static_cast<std::ptrdiff_t>((rankedBefore.size() + attempt) % originFetchers);
    std::nth_element(rankedBefore.begin(), rankedBefore.begin() + sourceRank, rankedBefore.end(), std::greater<>());
    return rankedBefore[static_cast<std::size_t>(sourceRank)].second->m_peers;
}

ManifestSharing::ManifestSharing(Http::EventLoop &loop, Wire::Node &node, OriginFetch askOrigin, ManifestSharingSettings settings)
    : m_loop(loop)
    , m_node(node)
    , m_originFetch(std::move(askOrigin))
    , m_settings(settings)
    , m_isAlive(std::make_shared<bool>(true))
{
}

ManifestSharing::~ManifestSharing()
{
    *m_isAlive = false;
}

void ManifestSharing::registerMethod()
{
    m_node.handle(ManifestMethod, [this, alive = m_isAlive](const Wire::IncomingCall &call) {
        const Core::Result<ModelVersion> version = Wire::unpack<ModelVersion>(call.m_body, call.m_peer);
        if (!version) {
            call.m_responder.fail(version.error());
            return;
        }
        boost::asio::post(m_loop, [this, alive, requested = version.value(), responder = call.m_responder] {
            if (*alive) {
                handleRequest(requested, responder);
            }
        });
    });
}

void ManifestSharing::handleRequest(const ModelVersion &version, const Wire::Responder &responder)
{
    const std::map<ModelVersion, FetchState>::const_iterator known = m_fetches.find(version);
    if (known != m_fetches.end() && !known->second.m_encoded.empty()) {
        responder.reply(known->second.m_encoded);
        return;
    }
    // Agents learn of a version at slightly different times, so a version that is unknown now may become known soon.
    std::erase_if(m_waiters, [](const Waiter &waiter) { return waiter.m_responder.isCancelled(); });
    if (m_waiters.size() >= m_settings.m_maximumWaiters) {
        responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "give manifest", "", "too many wait"));
        return;
    }
    m_waiters.push_back(Waiter{version, responder});
}

void ManifestSharing::setAgents(const std::string &self, std::vector<Gossip::Member> others)
{
    m_self = self;
    m_otherAgents = std::move(others);
}

void ManifestSharing::fetch(const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done)
{
    FetchState &state = m_fetches[version];
    if (!state.m_encoded.empty()) {
        fetchFromOrigin(origin, version, std::move(done));
        return;
    }
    const std::size_t attempt = state.m_attempts++;
    const std::optional<Core::Address> peer = manifestSource(m_self, m_otherAgents, version, m_settings.m_originFetchers, attempt);
    if (peer) {
        fetchFromPeer(*peer, origin, version, attempt, std::move(done));
    } else {
        fetchFromOrigin(origin, version, std::move(done));
    }
}

void ManifestSharing::fetchFromOrigin(const Core::Address &origin, const ModelVersion &version, Done<Weights::Manifest> done)
{
    m_originFetch(origin,
                  version.m_model,
                  version.m_version,
                  [this, alive = m_isAlive, version, finish = std::move(done)](const Core::Result<Weights::Manifest> &manifest) {
                      if (*alive && manifest) {
                          storeManifest(version, manifest.value());
                      }
                      finish(manifest);
                  });
}

void ManifestSharing::fetchFromPeer(
    const Core::Address &peer, const Core::Address &origin, const ModelVersion &version, std::size_t attempt, Done<Weights::Manifest> done)
{
    const bool mayReadFromOrigin = attempt % m_settings.m_originAttemptPeriod == 0;
    const std::shared_ptr<std::string> encoded = std::make_shared<std::string>();
    Wire::CallEvents events;
    events.m_onFrame = [encoded](std::string frame) { *encoded = std::move(frame); };
    events.m_onEnd =
        [this, alive = m_isAlive, encoded, origin, version, mayReadFromOrigin, name = peer.toString(), finish = std::move(done)](const Wire::CallEnd &end) {
            const Core::Result<Weights::Manifest> manifest =
                end.m_succeeded ? Weights::decodeManifest(*encoded, name) : Core::Result<Weights::Manifest>(end.m_error);
            boost::asio::post(m_loop, [this, alive, manifest, origin, version, mayReadFromOrigin, name, finish] {
                if (!*alive) {
                    return;
                }
                if (manifest && isManifestOf(manifest.value(), version)) {
                    storeManifest(version, manifest.value());
                    finish(manifest);
                    return;
                }
                if (mayReadFromOrigin) {
                    fetchFromOrigin(origin, version, finish);
                    return;
                }
                finish(manifest ? Core::makeError(Core::ErrorCode::Corrupt, "read manifest", name, "it describes another version") : manifest);
            });
        };
    const Core::Duration timeout = attempt == 0 ? m_settings.m_peerTimeout : m_settings.m_laterPeerTimeout;
    m_node.call(peer, ManifestMethod, Wire::pack(version), Wire::CallOptions{timeout}, std::move(events));
}

void ManifestSharing::storeManifest(const ModelVersion &version, const Weights::Manifest &manifest)
{
    const std::string encoded = Weights::encodeManifest(manifest);
    m_fetches[version].m_encoded = encoded;
    std::erase_if(m_fetches, [this, &version](const std::pair<const ModelVersion, FetchState> &entry) {
        return entry.first.m_model == version.m_model && entry.first.m_version + m_settings.m_keptVersionsPerModel <= version.m_version;
    });
    for (const Waiter &waiter : m_waiters) {
        if (waiter.m_version == version) {
            waiter.m_responder.reply(encoded);
        }
    }
    std::erase_if(m_waiters, [&version](const Waiter &waiter) { return waiter.m_version == version; });
}

}
