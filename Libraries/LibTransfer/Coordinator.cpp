/// @file Implementation of the coordinator: its thread, the wanted versions and the updates sent to followers.

#include "LibTransfer/Coordinator.h"

#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Transfer {

namespace {

constexpr std::size_t EventCapacity = 16384;
constexpr std::size_t EventsPerIteration = 512;
constexpr Core::Duration BusyWaitLimit{5};
constexpr Core::Duration IdleWaitLimit{100};
/// Minimum time between calls of makeDecisions(). A call costs more than handling an event, and most events change no decision.
constexpr Core::Duration DecisionInterval{4};
/// Minimum time between updates to followers. Each hop of a chunk waits for this interval, so it is a fraction of a chunk's transfer time on a link.
constexpr Core::Duration AnnouncementInterval{5};
constexpr Core::Duration HeartbeatInterval{500};
constexpr std::uint64_t BytesPerMebibyte = 1 << 20;
constexpr std::uint64_t MaximumOriginCopies = 64;

/// Returns the burst size of the download pacer: at least half a second's worth. The number of concurrent requests already limits the download, so a larger
/// bucket only makes up for moments in which there was nothing to request.
std::uint64_t downloadBurst(const TransferSettings &settings)
{
    return std::max(settings.m_burstBytes, settings.m_downloadBytesPerSecond / 2);
}

std::uint32_t originCopies(const Control::Deployment &deployment)
{
    if (deployment.m_policy == Control::BurstPolicy::OriginBytes || deployment.m_originCopies < 1) {
        return 1;
    }
    return static_cast<std::uint32_t>(std::min<double>(deployment.m_originCopies, MaximumOriginCopies));
}

}

Coordinator::Coordinator(TransferParts parts)
    : m_parts(std::move(parts))
    , m_events(std::make_shared<EventQueue>(EventCapacity, m_parts.m_metrics->counter("transfer_events_lost_total")))
    , m_originWorker(m_parts.m_network, m_parts.m_settings.m_originTimeouts, m_parts.m_settings.m_originConnections, m_parts.m_originDialect)
    , m_uploadWorker(m_parts.m_settings, *m_parts.m_metrics)
    , m_origin(m_parts.m_origin)
    , m_download(m_parts.m_settings.m_downloadBytesPerSecond, downloadBurst(m_parts.m_settings), Core::Clock::now())
    , m_random(Core::stableHash(m_parts.m_self.m_id + m_parts.m_self.m_incarnation))
    , m_bytesFromOrigin(m_parts.m_metrics->counter("transfer_bytes_from_origin_total"))
    , m_originRequests(m_parts.m_metrics->counter("transfer_origin_requests_total"))
    , m_bytesFromPeers(m_parts.m_metrics->counter("transfer_bytes_from_peers_total"))
    , m_bytesAcrossRegions(m_parts.m_metrics->counter("transfer_bytes_across_regions_total"))
    , m_bytesReused(m_parts.m_metrics->counter("transfer_bytes_reused_total"))
    , m_chunksBad(m_parts.m_metrics->counter("transfer_chunks_bad_total"))
    , m_manifestsBad(m_parts.m_metrics->counter("transfer_manifests_bad_total"))
    , m_duplicateChunks(m_parts.m_metrics->counter("transfer_chunks_twice_total"))
{
    registerMethods();
}

Coordinator::~Coordinator()
{
    stop();
}

void Coordinator::start()
{
    m_running = true;
    m_originWorker.start();
    m_uploadWorker.start();
    m_thread = std::thread([this] { run(); });
}

void Coordinator::stop()
{
    m_running = false;
    m_events->close();
    m_originWorker.stop();
    m_uploadWorker.stop();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void Coordinator::setTargets(std::vector<Control::Deployment> wanted)
{
    {
        const std::lock_guard<std::mutex> lock(m_pendingMutex);
        m_pendingTargets = std::move(wanted);
    }
    m_events->push(WakeUp{});
}

void Coordinator::release(const std::string &digest)
{
    {
        const std::lock_guard<std::mutex> lock(m_pendingMutex);
        m_pendingReleases.insert(digest);
    }
    m_events->push(WakeUp{});
}

void Coordinator::setOrigin(const Core::Address &origin, std::uint64_t linkBytesPerSecond)
{
    const std::lock_guard<std::mutex> lock(m_pendingMutex);
    m_origin = origin;
    m_originBytesPerSecond = linkBytesPerSecond;
}

TransferSettings Coordinator::exchangeSettings()
{
    TransferSettings settings = m_parts.m_settings;
    const std::lock_guard<std::mutex> lock(m_pendingMutex);
    if (m_originBytesPerSecond > 0) {
        settings.m_originBytesPerSecond = m_originBytesPerSecond;
    }
    return settings;
}

Core::Address Coordinator::origin()
{
    const std::lock_guard<std::mutex> lock(m_pendingMutex);
    return m_origin;
}

void Coordinator::setMayDownloadFromOrigin(bool mayDownload)
{
    m_mayDownloadFromOrigin = mayDownload;
}

void Coordinator::offerManifest(const std::string &digest, std::string encoded)
{
    m_events->push(ManifestOffered{digest, std::move(encoded)});
}

void Coordinator::offerChunk(const std::string &digest, Weights::ChunkIndex chunk, std::string bytes)
{
    m_events->push(ChunkOffered{digest, chunk, std::move(bytes)});
}

void Coordinator::onManifestVerified(std::function<void(const std::string &)> callback)
{
    m_onManifestVerified = std::move(callback);
}

void Coordinator::onVersionComplete(std::function<void(const std::string &)> callback)
{
    m_onVersionComplete = std::move(callback);
}

void Coordinator::recordLiveBytes(std::uint64_t bytes)
{
    m_liveBytes.fetch_add(bytes, std::memory_order_relaxed);
    m_uploadWorker.charge(bytes);
}

PublishedState Coordinator::published() const
{
    const std::lock_guard<std::mutex> lock(m_publishedMutex);
    return m_published;
}

Version *Coordinator::findVersion(const std::string &digest)
{
    const std::map<std::string, Version>::iterator found = m_versions.find(digest);
    return found == m_versions.end() ? nullptr : &found->second;
}

bool Coordinator::isBusy() const
{
    return std::any_of(m_versions.begin(), m_versions.end(), [](const std::pair<const std::string, Version> &entry) {
        return (entry.second.m_isWanted && !entry.second.m_held) || !entry.second.m_follows.empty();
    });
}

void Coordinator::run()
{
    Core::Instant nextDecision;
    while (m_running) {
        std::optional<Event> event = m_events->pop(isBusy() ? BusyWaitLimit : IdleWaitLimit);
        for (std::size_t count = 0; event && count < EventsPerIteration; ++count) {
            std::visit([this](const auto &concrete) { handle(concrete); }, *event);
            event = m_events->pop(Core::Duration(0));
        }
        if (event) {
            std::visit([this](const auto &concrete) { handle(concrete); }, *event);
        }
        applyPendingChanges();
        const Core::Instant now = Core::Clock::now();
        if (now >= nextDecision) {
            makeDecisions(now);
            nextDecision = now + DecisionInterval;
        }
        if (m_hasUnpublishedChanges) {
            m_hasUnpublishedChanges = false;
            publish();
        }
    }
    for (std::pair<const std::string, Version> &entry : m_versions) {
        stopTransfer(entry.second);
    }
}

void Coordinator::applyPendingChanges()
{
    std::optional<std::vector<Control::Deployment>> targets;
    std::set<std::string> releases;
    {
        const std::lock_guard<std::mutex> lock(m_pendingMutex);
        targets.swap(m_pendingTargets);
        releases.swap(m_pendingReleases);
    }
    if (targets) {
        applyTargets(*targets);
    }
    for (const std::string &digest : releases) {
        const Version *version = findVersion(digest);
        if (version && !version->m_isWanted) {
            dropVersion(digest);
        }
    }
}

void Coordinator::applyTargets(const std::vector<Control::Deployment> &wanted)
{
    for (std::pair<const std::string, Version> &entry : m_versions) {
        entry.second.m_isWanted = false;
    }
    for (std::size_t rank = 0; rank < wanted.size(); ++rank) {
        const Control::Deployment &deployment = wanted[rank];
        Version &version = m_versions[deployment.m_digest];
        version.m_isWanted = true;
        version.m_priority = rank;
        updateVersion(version, deployment);
    }
    std::vector<std::string> superseded;
    for (const std::pair<const std::string, Version> &entry : m_versions) {
        if (!entry.second.m_isWanted && !entry.second.m_held) {
            superseded.push_back(entry.first);
        }
    }
    for (const std::string &digest : superseded) {
        dropVersion(digest);
    }
    m_hasUnpublishedChanges = true;
}

void Coordinator::updateVersion(Version &version, const Control::Deployment &deployment)
{
    if (version.m_deployment == deployment) {
        return;
    }
    if (version.m_deployment.m_digest.empty()) {
        LOG(INFO) << "transfer of " << deployment.m_model << " " << deployment.m_version << " wanted, digest " << deployment.m_digest;
    }
    if (version.m_exchange && version.m_deployment.m_replicas != deployment.m_replicas) {
        const Core::Duration age = std::chrono::duration_cast<Core::Duration>(Core::Clock::now() - version.m_exchangeStartedAt);
        writeLine(replicasLine(deployment.m_digest, version.m_deployment.m_replicas.size(), deployment.m_replicas.size(), age));
    }
    version.m_deployment = deployment;
    if (version.m_exchange) {
        version.m_exchange->setReplicas(deployment.m_replicas, originCopies(deployment));
    }
    for (std::vector<Waiter>::iterator it = m_unknownVersionFollowers.begin(); it != m_unknownVersionFollowers.end();) {
        if (it->m_digest != deployment.m_digest) {
            ++it;
            continue;
        }
        it->m_responder.send(Wire::pack(snapshot(version)));
        version.m_followers.push_back(it->m_responder);
        it = m_unknownVersionFollowers.erase(it);
    }
}

void Coordinator::stopTransfer(Version &version)
{
    for (const std::pair<const RequestId, OpenRequest> &request : version.m_requests) {
        if (request.second.m_call != 0) {
            m_parts.m_node->cancel(request.second.m_call);
        }
    }
    version.m_requests.clear();
    for (const std::pair<const Core::Address, OpenFollow> &open : version.m_follows) {
        m_parts.m_node->cancel(open.second.m_call);
    }
    version.m_follows.clear();
}

void Coordinator::dropVersion(const std::string &digest)
{
    Version &version = m_versions.at(digest);
    stopTransfer(version);
    for (const Wire::Responder &follower : version.m_followers) {
        if (m_unknownVersionFollowers.size() < MaximumUnknownVersionFollowers) {
            m_unknownVersionFollowers.push_back(Waiter{digest, follower});
        }
    }
    LOG(INFO) << "transfer of " << version.m_deployment.m_model << " " << version.m_deployment.m_version << " dropped, digest " << digest;
    m_versions.erase(digest);
    std::erase_if(m_chunkStore, [](const std::pair<const std::string, std::weak_ptr<const std::string>> &entry) { return entry.second.expired(); });
    m_hasUnpublishedChanges = true;
}

void Coordinator::makeDecisions(Core::Instant now)
{
    m_download.charge(m_liveBytes.exchange(0, std::memory_order_relaxed), now);
    const Version *first = firstIncomplete();
    for (std::pair<const std::string, Version> &entry : m_versions) {
        Version &version = entry.second;
        if (version.m_isWanted && !version.m_manifest) {
            fetchManifest(version, now);
        }
        if (version.m_manifest && !version.m_exchange && !beginExchange(version, now)) {
            continue;
        }
        if (!version.m_exchange) {
            continue;
        }
        for (const std::pair<const RequestId, OpenRequest> &request : version.m_requests) {
            if (request.second.m_buffer) {
                version.m_exchange->onRequestProgress(request.first, request.second.m_buffer->m_received.load(std::memory_order_relaxed), now);
            }
        }
        performActions(version, version.m_exchange->decide(m_download, now, transferModeFor(version, first, now)));
        if (version.m_exchange->isComplete() && !version.m_held) {
            completeVersion(version);
        }
    }
    announce(now);
}

const Version *Coordinator::firstIncomplete() const
{
    const Version *first = nullptr;
    for (const std::pair<const std::string, Version> &entry : m_versions) {
        const Version &version = entry.second;
        if (version.m_isWanted && !version.m_held && (!first || version.m_priority < first->m_priority)) {
            first = &version;
        }
    }
    return first;
}

/// Downloads of a later version from the origin wait until those of the first version are due. If both ran concurrently, each would take twice as long on the
/// origin's link.
TransferMode Coordinator::transferModeFor(const Version &version, const Version *first, Core::Instant now) const
{
    const bool mayDownload = m_mayDownloadFromOrigin.load(std::memory_order_relaxed);
    if (!version.m_isWanted || !first || version.m_priority <= first->m_priority) {
        return mayDownload ? TransferMode::Full : TransferMode::PeersOnly;
    }
    const bool isTurn = mayDownload && first->m_exchange && first->m_exchange->areDownloadsDue(now);
    return isTurn ? TransferMode::OwnDownloadsOnly : TransferMode::MonitorOnly;
}

std::uint64_t Coordinator::memoryUsed() const
{
    std::uint64_t bytes = 0;
    for (const std::pair<const std::string, std::weak_ptr<const std::string>> &entry : m_chunkStore) {
        const Weights::ChunkBytes chunk = entry.second.lock();
        bytes += chunk ? chunk->size() : 0;
    }
    // Transfers in progress will also need memory for their missing chunks.
    for (const std::pair<const std::string, Version> &entry : m_versions) {
        const Version &version = entry.second;
        for (Weights::ChunkIndex chunk = 0; version.m_exchange && chunk < version.m_chunks.size(); ++chunk) {
            bytes += version.m_chunks[chunk] ? 0 : version.m_manifest->chunkLength(chunk);
        }
    }
    return bytes;
}

bool Coordinator::beginExchange(Version &version, Core::Instant now)
{
    std::uint64_t needed = 0;
    for (Weights::ChunkIndex chunk = 0; chunk < version.m_manifest->chunkCount(); ++chunk) {
        const std::map<std::string, std::weak_ptr<const std::string>>::const_iterator stored = m_chunkStore.find(version.m_manifest->m_chunkDigests[chunk]);
        const bool isHeld = stored != m_chunkStore.end() && !stored->second.expired();
        needed += isHeld ? 0 : version.m_manifest->chunkLength(chunk);
    }
    const bool fits = memoryUsed() + needed <= m_parts.m_settings.m_memoryMebibytes * BytesPerMebibyte;
    if (version.m_isWaitingForMemory == fits) {
        version.m_isWaitingForMemory = !fits;
        LOG(INFO) << "transfer of digest " << version.m_deployment.m_digest << (fits ? " resumes" : " waits until a release of another version frees memory");
        m_hasUnpublishedChanges = true;
    }
    if (!fits) {
        return false;
    }
    Exchange::Identity identity{version.m_deployment.m_digest, m_parts.m_self.m_id, m_parts.m_self.m_region, m_random.next()};
    version.m_exchange = std::make_unique<Exchange>(exchangeSettings(), std::move(identity), *version.m_manifest, now);
    version.m_exchange->setReplicas(version.m_deployment.m_replicas, originCopies(version.m_deployment));
    version.m_exchangeStartedAt = now;
    writeLine(replicasLine(version.m_deployment.m_digest, 0, version.m_deployment.m_replicas.size(), Core::Duration(0)));
    version.m_chunks.assign(version.m_manifest->chunkCount(), nullptr);
    reuseChunks(version, now);
    for (const Wire::Responder &follower : version.m_followers) {
        follower.send(Wire::pack(snapshot(version)));
    }
    version.m_unannouncedChunks.clear();
    return true;
}

void Coordinator::reuseChunks(Version &version, Core::Instant now)
{
    for (Weights::ChunkIndex chunk = 0; chunk < version.m_manifest->chunkCount(); ++chunk) {
        const std::map<std::string, std::weak_ptr<const std::string>>::const_iterator stored = m_chunkStore.find(version.m_manifest->m_chunkDigests[chunk]);
        Weights::ChunkBytes bytes = stored == m_chunkStore.end() ? nullptr : stored->second.lock();
        if (bytes) {
            m_bytesReused.add(bytes->size());
            storeChunk(version, chunk, std::move(bytes), now);
        }
    }
}

void Coordinator::completeVersion(Version &version)
{
    const std::string &digest = version.m_deployment.m_digest;
    const Core::Result<std::shared_ptr<const Weights::HeldVersion>> assembled = Weights::assembleVersion(digest, *version.m_manifest, version.m_chunks);
    if (!assembled) {
        // Every chunk matched the manifest, so the manifest contradicts itself. No further download can complete this version.
        LOG_EVERY_N(ERROR, 1000) << assembled.error();
        return;
    }
    version.m_held = assembled.value();
    LOG(INFO) << "transfer of " << version.m_deployment.m_model << " " << version.m_deployment.m_version << " complete, digest " << digest;
    publish();
    if (m_onVersionComplete) {
        m_onVersionComplete(digest);
    }
}

HaveUpdate Coordinator::snapshot(const Version &version) const
{
    HaveUpdate update;
    update.m_participates = true;
    update.m_queuedUploads = m_uploadWorker.uploadCount();
    if (version.m_exchange) {
        update.m_isSnapshot = true;
        update.m_bitmap = encodeBitmap(version.m_exchange->heldChunks());
        update.m_fetching = version.m_exchange->fetchedChunks();
        update.m_canDownloadFromOrigin = version.m_exchange->canDownloadFromOrigin();
    }
    return update;
}

void Coordinator::announce(Core::Instant now)
{
    if (now < m_nextAnnouncement) {
        return;
    }
    m_nextAnnouncement = now + AnnouncementInterval;
    const bool isHeartbeat = now >= m_nextHeartbeat;
    if (isHeartbeat) {
        m_nextHeartbeat = now + HeartbeatInterval;
        m_hasUnpublishedChanges = true;
        std::erase_if(m_unknownVersionFollowers, [](const Waiter &follower) { return follower.m_responder.isCancelled(); });
        for (const Waiter &follower : m_unknownVersionFollowers) {
            follower.m_responder.send(Wire::pack(HaveUpdate{}));
        }
    }
    for (std::pair<const std::string, Version> &entry : m_versions) {
        Version &version = entry.second;
        std::vector<std::uint32_t> fetching = version.m_exchange ? version.m_exchange->fetchedChunks() : std::vector<std::uint32_t>();
        if (version.m_unannouncedChunks.empty() && fetching == version.m_announcedFetches && !isHeartbeat) {
            continue;
        }
        version.m_announcedFetches = fetching;
        HaveUpdate update;
        update.m_fetching = std::move(fetching);
        update.m_participates = true;
        update.m_canDownloadFromOrigin = !version.m_exchange || version.m_exchange->canDownloadFromOrigin();
        update.m_queuedUploads = m_uploadWorker.uploadCount();
        update.m_added.swap(version.m_unannouncedChunks);
        const std::string encoded = Wire::pack(update);
        std::erase_if(version.m_followers, [&encoded](const Wire::Responder &follower) { return follower.isCancelled() || !follower.send(encoded); });
    }
}

void Coordinator::writeLine(const Telemetry::LogLine &line) const
{
    if (m_parts.m_log) {
        m_parts.m_log->write(line);
    } else {
        LOG(INFO) << "{" << line.fields() << "}";
    }
}

void Coordinator::publish()
{
    PublishedState next;
    Poco::JSON::Object::Ptr dump(new Poco::JSON::Object);
    for (const std::pair<const std::string, Version> &entry : m_versions) {
        const Version &version = entry.second;
        Protocol::TransferProgress progress;
        progress.m_digest = entry.first;
        progress.m_chunksHeld = version.m_exchange ? version.m_exchange->heldCount() : 0;
        progress.m_chunksTotal = version.m_manifest ? version.m_manifest->chunkCount() : 0;
        next.m_progress.push_back(progress);
        if (version.m_held) {
            next.m_held[entry.first] = version.m_held;
        }
        if (version.m_manifest) {
            next.m_known.push_back(KnownVersion{entry.first, version.m_manifest->m_contentDigest, version.m_held != nullptr});
        }
        Poco::JSON::Object::Ptr object(new Poco::JSON::Object);
        object->set("model", version.m_deployment.m_model);
        object->set("version", version.m_deployment.m_version);
        object->set("wanted", version.m_isWanted);
        object->set("whole", version.m_held != nullptr);
        object->set("awaits_memory", version.m_isWaitingForMemory);
        object->set("chunks_held", progress.m_chunksHeld);
        object->set("chunks_total", progress.m_chunksTotal);
        object->set("followed", version.m_follows.size());
        object->set("followers", version.m_followers.size());
        object->set("open_requests", version.m_requests.size());
        if (version.m_exchange) {
            const ExchangeCounts &counts = version.m_exchange->counts();
            object->set("stalls", counts.m_stalls);
            object->set("hedges", counts.m_hedges);
            object->set("busy", counts.m_busy);
            object->set("bad_chunks", counts.m_badChunks);
            object->set("takeovers", counts.m_takeovers);
            object->set("deferred_downloads", counts.m_deferredDownloads);
        }
        dump->set(entry.first, object);
    }
    next.m_dump = dump;
    const std::lock_guard<std::mutex> lock(m_publishedMutex);
    m_published = std::move(next);
}

}
