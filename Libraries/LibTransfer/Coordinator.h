/// @file The worker that owns the state of every version, sends the requests that the exchanges decide on and answers peers.
#pragma once

#include "LibTransfer/Events.h"
#include "LibTransfer/OriginWorker.h"
#include "LibTransfer/TransferManager.h"
#include "LibTransfer/UploadWorker.h"
#include "LibTransfer/Version.h"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace Transfer {

/// State that other threads may read, as of the coordinator's last iteration.
struct PublishedState
{
    std::map<std::string, std::shared_ptr<const Weights::HeldVersion>> m_held; ///< By manifest digest; never null.
    std::vector<KnownVersion> m_known;
    std::vector<Protocol::TransferProgress> m_progress;
    Poco::JSON::Object::Ptr m_dump;
};

class Coordinator
{
public:
    explicit Coordinator(TransferParts parts);
    ~Coordinator();

    void start();
    void stop();

    void setTargets(std::vector<Control::Deployment> wanted);
    void release(const std::string &digest);
    void setOrigin(const Core::Address &origin, std::uint64_t linkBytesPerSecond);
    void setMayDownloadFromOrigin(bool mayDownload);
    void offerManifest(const std::string &digest, std::string encoded);
    void offerChunk(const std::string &digest, Weights::ChunkIndex chunk, std::string bytes);
    void onManifestVerified(std::function<void(const std::string &)> callback);
    void onVersionComplete(std::function<void(const std::string &)> callback);
    void recordLiveBytes(std::uint64_t bytes);
    PublishedState published() const;

private:
    /// A peer that waits for the manifest or the holdings of a version.
    struct Waiter
    {
        std::string m_digest;
        Wire::Responder m_responder;
    };

    void registerMethods();
    void run();
    void applyPendingChanges();
    void applyTargets(const std::vector<Control::Deployment> &wanted);
    void updateVersion(Version &version, const Control::Deployment &deployment);
    void dropVersion(const std::string &digest);
    void stopTransfer(Version &version);

    void handle(const WakeUp &event);
    void handle(const ManifestOffered &event);
    void handle(const ChunkOffered &event);
    void handle(const UpdateReceived &event);
    void handle(const FollowEnded &event);
    void handle(const PeerRequestEnded &event);
    void handle(const OriginRequestEnded &event);
    void handle(const OriginProbeEnded &event);
    void handle(const ManifestRequestEnded &event);
    void handle(const ManifestRequested &event);
    void handle(const FollowRequested &event);
    void handle(const ChunkRequested &event);

    void makeDecisions(Core::Instant now);
    /// Returns the most urgent wanted version that is incomplete, or null.
    const Version *firstIncomplete() const;
    TransferMode transferModeFor(const Version &version, const Version *first, Core::Instant now) const;
    void fetchManifest(Version &version, Core::Instant now);
    std::optional<Core::Address> manifestSource(const Version &version);
    void adoptManifest(Version &version, const std::string &encoded, const Weights::Manifest &manifest);
    bool beginExchange(Version &version, Core::Instant now);
    void reuseChunks(Version &version, Core::Instant now);
    void performActions(Version &version, const std::vector<Action> &actions);
    void followPeer(Version &version, const Core::Address &peer);
    void requestFromPeer(Version &version, const Action &action);
    void requestFromOrigin(Version &version, const Action &action);
    void writeLine(const Telemetry::LogLine &line) const;
    void probeOrigin(Version &version);
    void acceptChunk(Version &version, Weights::ChunkIndex chunk, std::string bytes, Core::Instant now);
    void storeChunk(Version &version, Weights::ChunkIndex chunk, Weights::ChunkBytes bytes, Core::Instant now);
    void completeVersion(Version &version);
    void announce(Core::Instant now);
    HaveUpdate snapshot(const Version &version) const;
    std::uint64_t memoryUsed() const;
    Version *findVersion(const std::string &digest);
    Core::Address origin();
    /// Returns the settings with the rate of the origin's link, as far as it is known.
    TransferSettings exchangeSettings();
    bool isBusy() const;
    void publish();

    const TransferParts m_parts;
    const std::shared_ptr<EventQueue> m_events;
    OriginWorker m_originWorker;
    UploadWorker m_uploadWorker;
    std::function<void(const std::string &)> m_onManifestVerified; ///< Not changed after start().
    std::function<void(const std::string &)> m_onVersionComplete; ///< Not changed after start().

    std::mutex m_pendingMutex;
    std::optional<std::vector<Control::Deployment>> m_pendingTargets; ///< The newest targets that have not been applied.
    std::set<std::string> m_pendingReleases;
    Core::Address m_origin; ///< Guarded by m_pendingMutex, as are the targets. Empty until the origin is known.
    std::uint64_t m_originBytesPerSecond = 0; ///< Rate of the origin's link; 0 if unknown. Guarded by m_pendingMutex.
    std::atomic<bool> m_mayDownloadFromOrigin = true;
    std::atomic<std::uint64_t> m_liveBytes = 0; ///< Bytes of live traffic not yet charged to m_download.

    mutable std::mutex m_publishedMutex;
    PublishedState m_published;

    // The members below are used by the coordinator's thread only.
    std::map<std::string, Version> m_versions; ///< By manifest digest.
    static constexpr std::size_t MaximumUnknownVersionFollowers = 8192;
    std::vector<Waiter> m_unknownVersionFollowers; ///< Followers of versions that are unknown here; at most MaximumUnknownVersionFollowers elements.
    std::vector<Waiter> m_manifestWaiters;
    std::map<std::string, std::weak_ptr<const std::string>> m_chunkStore; ///< By chunk digest, so that versions share equal chunks.
    Pacer m_download;
    Core::Random m_random;
    std::uint64_t m_nextSerial = 1;
    Core::Instant m_nextAnnouncement;
    Core::Instant m_nextHeartbeat;
    bool m_hasUnpublishedChanges = true; ///< The published state is out of date.

    Telemetry::Counter &m_bytesFromOrigin;
    Telemetry::Counter &m_originRequests;
    Telemetry::Counter &m_bytesFromPeers;
    Telemetry::Counter &m_bytesAcrossRegions;
    Telemetry::Counter &m_bytesReused;
    Telemetry::Counter &m_chunksBad;
    Telemetry::Counter &m_manifestsBad;
    Telemetry::Counter &m_duplicateChunks;

    std::atomic<bool> m_running = false;
    std::thread m_thread;
};

}
