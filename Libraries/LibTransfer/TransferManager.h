/// @file Brings the wanted versions of the weights onto this instance and passes their chunks on to others.
#pragma once

#include "LibControl/Model.h"
#include "LibNetwork/NetworkSettings.h"
#include "LibProtocol/Report.h"
#include "LibTelemetry/Metrics.h"
#include "LibTransfer/OriginDialect.h"
#include "LibTransfer/TransferSettings.h"
#include "LibWeights/HeldVersion.h"
#include "LibWire/Node.h"

#include <Poco/JSON/Object.h>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Transfer {

class Coordinator;

/// What a transfer manager is made of. The node and the metrics must outlive it.
struct TransferParts
{
    TransferSettings m_settings;
    Protocol::Member m_self;
    Wire::Node *m_node = nullptr;
    Network::NetworkSettings m_network; ///< For the connections to the origin.
    Core::Address m_origin; ///< Empty if it is told later.
    std::string m_originRegion; ///< Where the origin stands; empty if unknown.
    OriginDialect m_originDialect = defaultOriginDialect();
    Telemetry::Metrics *m_metrics = nullptr;
};

/// A version whose manifest is verified here; its chunks need not be.
struct KnownVersion
{
    std::string m_manifestDigest;
    std::string m_contentDigest; ///< Of the whole weights, as the manifest says.
    bool m_isComplete = false; ///< Every chunk is here.

    bool operator==(const KnownVersion &) const = default;
};

/**
 * Fetches, verifies, holds and serves versions of the weights.
 *
 * Construct it before the node is started, since it registers the transfer methods there; stop it before the node is stopped.
 * All methods are thread-safe and return at once.
 */
class TransferManager
{
public:
    explicit TransferManager(TransferParts parts);
    ~TransferManager();

    TransferManager(const TransferManager &) = delete;
    TransferManager &operator=(const TransferManager &) = delete;

    /// Starts the duties.
    void start();
    /// Ends every transfer and joins the duties. What is held stays readable.
    void stop();

    /**
     * Says which deployments this instance is a replica of, the most urgent first; the newest list counts.
     *
     * While one is not whole, of the later ones only the chunks that this instance is to bring from the origin are drawn: the origin may go away, and
     * these chunks are a small part of the instance's link.
     *
     * The transfer of a version that is no longer wanted stops at once and its chunks are dropped. A whole version stays until
     * release(), so that it can keep serving, and a way back to it moves no bytes.
     */
    void setTargets(std::vector<Control::Deployment> wanted);

    /// The version with this manifest digest if it is whole and verified, else null. Nothing partial is ever returned.
    std::shared_ptr<const Weights::HeldVersion> heldVersion(const std::string &manifestDigest) const;
    /// Every version whose manifest is verified here.
    std::vector<KnownVersion> knownVersions() const;
    /// Manifest digests of every whole version.
    std::vector<std::string> heldDigests() const;
    /// Lets go of a whole version unless it is wanted.
    void release(const std::string &manifestDigest);

    /// One entry for each wanted or held version.
    std::vector<Protocol::TransferProgress> progress() const;

    /// Replaces the origin.
    void setOrigin(const Core::Address &origin);
    /// Hands over a manifest that was found on this instance; taken if its digest is that of a wanted version.
    void offerManifest(const std::string &manifestDigest, std::string encoded);
    /// Hands over a chunk that was found on this instance; taken if it verifies. Saves drawing it, and lets peers draw it from here.
    void offerChunk(const std::string &manifestDigest, Weights::ChunkIndex chunk, std::string bytes);

    /// Called with the manifest digest when a version's manifest is verified, on a duty's thread. Set before start().
    void onManifestVerified(std::function<void(const std::string &manifestDigest)> callback);
    /// Called with the manifest digest when a version becomes whole, on a duty's thread. Set before start().
    void onVersionComplete(std::function<void(const std::string &manifestDigest)> callback);

    /// Live traffic used this many bytes of the instance's link; transfer gives way for as many.
    void recordLiveBytes(std::uint64_t bytes);

    /// For the state dump.
    Poco::JSON::Object::Ptr dump() const;

private:
    std::unique_ptr<Coordinator> m_coordinator;
};

}
