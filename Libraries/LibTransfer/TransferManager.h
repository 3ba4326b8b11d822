/// @file Fetches the wanted versions of the weights to this instance and serves their chunks to other instances.
#pragma once

#include "LibControl/Model.h"
#include "LibNetwork/NetworkSettings.h"
#include "LibProtocol/Report.h"
#include "LibTelemetry/EventLog.h"
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

/// Settings and dependencies of a transfer manager. The node, the metrics and the log must outlive it.
struct TransferParts
{
    TransferSettings m_settings;
    Protocol::Member m_self;
    Wire::Node *m_node = nullptr;
    Network::NetworkSettings m_network; ///< For connections to the origin.
    Core::Address m_origin; ///< Empty if it is set later with setOrigin().
    std::string m_originRegion; ///< Region of the origin; empty if unknown.
    OriginDialect m_originDialect = defaultOriginDialect();
    Telemetry::Metrics *m_metrics = nullptr;
    Telemetry::EventLog *m_log = nullptr; ///< Receives the lines about decisions. If null, they are written with the other messages of the process.
};

/// A version whose manifest was verified here. Its chunks may be missing.
struct KnownVersion
{
    std::string m_manifestDigest;
    std::string m_contentDigest; ///< Digest of the complete weights, according to the manifest.
    bool m_isComplete = false; ///< Every chunk is held.

    bool operator==(const KnownVersion &) const = default;
};

/**
 * Fetches, verifies, holds and serves versions of the weights.
 *
 * Must be constructed before the node is started, since it registers the transfer methods there, and stopped before the node is stopped. All methods are
 * thread-safe and return immediately.
 */
class TransferManager
{
public:
    explicit TransferManager(TransferParts parts);
    ~TransferManager();

    TransferManager(const TransferManager &) = delete;
    TransferManager &operator=(const TransferManager &) = delete;

    /// Starts the workers.
    void start();
    /// Ends all transfers and joins the workers. Held versions remain readable.
    void stop();

    /**
     * Sets the deployments of which this instance is a replica, most urgent first. The newest list replaces earlier ones.
     *
     * While one of them is incomplete, only those chunks of the later ones are downloaded for which this instance is the first downloader from the origin. The
     * origin may become unreachable, and these chunks use only a small part of the instance's link.
     *
     * The transfer of a version that is no longer wanted stops immediately and its chunks are dropped. A complete version is kept until release(), so that it
     * can still be served, and a rollback to it transfers no bytes.
     */
    void setTargets(std::vector<Control::Deployment> wanted);

    /// Returns the version with this manifest digest if it is complete and verified, and null otherwise. Incomplete versions are never returned.
    std::shared_ptr<const Weights::HeldVersion> heldVersion(const std::string &manifestDigest) const;
    /// Returns every version whose manifest was verified here.
    std::vector<KnownVersion> knownVersions() const;
    /// Drops a complete version unless it is wanted.
    void release(const std::string &manifestDigest);

    /// Returns the progress of each wanted or held version.
    std::vector<Protocol::TransferProgress> progress() const;

    /// Replaces the origin's address and the rate of its link. @p linkBytesPerSecond: 0 if the rate is unknown.
    void setOrigin(const Core::Address &origin, std::uint64_t linkBytesPerSecond = 0);
    /**
     * Sets whether chunks may be downloaded from the origin; true at first.
     *
     * A replica that knows few others holds itself to be the first downloader of chunks that the others have downloaded or are about to.
     */
    void setMayDownloadFromOrigin(bool mayDownload);
    /// Passes in a manifest that was found on this instance. It is accepted if its digest is that of a wanted version.
    void offerManifest(const std::string &manifestDigest, std::string encoded);
    /// Passes in a chunk that was found on this instance. It is accepted if it matches its digest; it then need not be downloaded, and peers can fetch it from
    /// here.
    void offerChunk(const std::string &manifestDigest, Weights::ChunkIndex chunk, std::string bytes);

    /// Sets the callback for a version whose manifest was verified; its argument is the manifest digest. Called on a worker's thread. Must be set before
    /// start().
    void onManifestVerified(std::function<void(const std::string &manifestDigest)> callback);
    /// Sets the callback for a version that became complete; its argument is the manifest digest. Called on a worker's thread. Must be set before start().
    void onVersionComplete(std::function<void(const std::string &manifestDigest)> callback);

    /// Records that live traffic used this many bytes of the instance's link. Transfers are reduced by the same amount.
    void recordLiveBytes(std::uint64_t bytes);

    /// Returns the state for the dump page.
    Poco::JSON::Object::Ptr dump() const;

private:
    std::unique_ptr<Coordinator> m_coordinator;
};

}
