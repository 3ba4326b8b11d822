/// @file Implementation of the exchange: the state of peers, chunks and requests.

#include "LibTransfer/Exchange.h"

#include <algorithm>
#include <numeric>

namespace Transfer {

namespace {

constexpr std::size_t RankedPeers = 6;
/// Replicas that the first downloader in rank follows. One of them may have been the first before this replica joined.
constexpr std::size_t FollowedSuccessors = 2;
constexpr std::size_t FollowedPredecessors = 2; ///< Replicas ranked after this position follow none of their predecessors until the probe delay has passed.
constexpr std::uint32_t TreeFanOut = 2;
constexpr Core::Duration TakeoverGrace{400}; ///< Time until a chunk that its first downloader passed on just before dying is known here.
constexpr Core::Duration JoinGrace{3000}; ///< Replicas receive a plan at slightly different times.
constexpr Core::Duration MinimumProbeDelay{4000};
constexpr Core::Duration FollowRetryDelay{250};
constexpr std::uint32_t MaximumBackoffDoublings = 4;
constexpr Core::Duration BusyRetryDelay{60};
constexpr Core::Duration FailureRetryDelay{1000};
constexpr std::uint32_t FailuresUntilExclusion = 3;
constexpr Core::Duration ExclusionTime{30000};
/// Delay between probes of an unreachable origin. A fleet whose weights are missing serves no requests, and a probe transfers no data.
constexpr Core::Duration OriginProbeDelay{100};
constexpr std::uint32_t OriginFailuresUntilTakeover = 5; ///< Half a second of failed probes.
/// An outage of at least this length restarts the schedule of downloads. A connection that the origin reset because it had too many does not.
constexpr Core::Duration MinimumOriginOutage{300};
constexpr Core::Duration CorruptDownloadDelay{250}; ///< Delay after the second corrupt answer in a row. A single one is repeated at once.
constexpr double SmoothingFactor = 0.2;
/// Share of the origin's link that carries chunks. The rest carries headers, manifests and the packets that open connections.
constexpr double ChunkShareOfOriginLink = 0.97;
constexpr std::uint64_t OriginToInstanceLinkRatio = 2; ///< Used if the origin's rate is not set: its link carries about twice as much as an instance's link.

Core::Duration backoffDelay(Core::Duration base, std::uint32_t failures, std::uint32_t maximumDoublings)
{
    const std::uint32_t doublings = std::min(failures > 0 ? failures - 1 : 0, maximumDoublings);
    return base * (std::int64_t{1} << doublings);
}

std::chrono::duration<double, std::milli> originChunkTime(const TransferSettings &settings, std::uint32_t chunkBytes)
{
    const double rate = settings.m_originBytesPerSecond > 0 ? ChunkShareOfOriginLink * static_cast<double>(settings.m_originBytesPerSecond)
                                                            : static_cast<double>(OriginToInstanceLinkRatio * settings.m_downloadBytesPerSecond);
    return rate > 0 ? std::chrono::duration<double>(chunkBytes / rate) : std::chrono::duration<double>(0);
}

/// Returns the delay after which the ranked downloaders and importers of a chunk follow all its possible sources, if the chunk is due and not held by any
/// followed peer. The delay is as long as a whole burst should take. With a shorter delay, hundreds of replicas would search for chunks that are merely in
/// transit, and the additional connections would slow the burst down.
Core::Duration probeDelay(const TransferSettings &settings, const Weights::Manifest &manifest)
{
    if (settings.m_downloadBytesPerSecond == 0) {
        return MinimumProbeDelay;
    }
    constexpr std::uint64_t millisecondsPerSecond = 1000;
    return std::max(MinimumProbeDelay, Core::Duration(manifest.m_totalBytes * millisecondsPerSecond / settings.m_downloadBytesPerSecond));
}

}

Exchange::Exchange(const TransferSettings &settings, Identity identity, const Weights::Manifest &manifest, Core::Instant now)
    : m_settings(settings)
    , m_identity(std::move(identity))
    , m_manifest(manifest)
    , m_startedAt(now)
    , m_random(m_identity.m_seed)
    , m_originChunkTime(originChunkTime(settings, manifest.m_chunkBytes))
    , m_probeDelay(probeDelay(settings, manifest))
    , m_downloadScheduleStart(now)
    , m_downloadPositions(manifest.chunkCount())
    , m_chunks(manifest.chunkCount())
    , m_held(manifest.chunkCount(), false)
    , m_nextRequest(m_random.next() >> 8U)
{
    std::iota(m_downloadPositions.begin(), m_downloadPositions.end(), 0U);
}

void Exchange::setReplicas(const std::vector<Control::PlannedReplica> &replicas, std::uint32_t originCopies)
{
    m_originCopies = std::max<std::uint32_t>(originCopies, 1);
    for (Peer &peer : m_peers) {
        peer.m_isListed = false;
    }
    m_self.reset();
    for (const Control::PlannedReplica &replica : replicas) {
        std::optional<PeerIndex> index = findPeer(replica.m_wire);
        if (!index) {
            index = static_cast<PeerIndex>(m_peers.size());
            m_peers.emplace_back();
            m_peers.back().m_holds.assign(m_manifest.chunkCount(), false);
        }
        Peer &peer = m_peers[*index];
        peer.m_replica = replica;
        peer.m_candidate = Candidate{*index, candidateHash(replica.m_instance)};
        peer.m_isListed = true;
        peer.m_isSelf = replica.m_instance == m_identity.m_instance;
        peer.m_isSameRegion = replica.m_region == m_identity.m_region;
        if (peer.m_isSelf) {
            m_self = index;
        }
    }
    rankChunks();
    selectFollowedPeers();
}

void Exchange::rankChunks()
{
    std::vector<Candidate> allCandidates;
    std::vector<Candidate> regionCandidates;
    std::map<std::string, std::vector<Candidate>> regions;
    for (const Peer &peer : m_peers) {
        if (!peer.m_isListed) {
            continue;
        }
        allCandidates.push_back(peer.m_candidate);
        regions[peer.m_replica.m_region].push_back(peer.m_candidate);
        if (peer.m_isSameRegion) {
            regionCandidates.push_back(peer.m_candidate);
        }
    }
    m_regions.clear();
    for (const std::pair<const std::string, std::vector<Candidate>> &region : regions) {
        m_regions.push_back(region.second);
    }
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        Chunk &chunk = m_chunks[index];
        const std::uint64_t item = itemHash(m_identity.m_digest, index);
        chunk.m_downloaders = topRanked(item, allCandidates, RankedPeers);
        chunk.m_importers = topRanked(item, regionCandidates, RankedPeers);
        chunk.m_isDownloader = m_self && std::find(chunk.m_downloaders.begin(), chunk.m_downloaders.end(), *m_self) != chunk.m_downloaders.end();
        chunk.m_isImporter = m_self && std::find(chunk.m_importers.begin(), chunk.m_importers.end(), *m_self) != chunk.m_importers.end();
        chunk.m_downloadRank = m_self ? static_cast<std::uint32_t>(rankOf(m_peers[*m_self].m_candidate, item, allCandidates)) : ~std::uint32_t{0};
    }
    if (m_settings.m_strategy != Strategy::Tree || !m_self) {
        return;
    }
    const std::vector<PeerIndex> order = topRanked(itemHash(m_identity.m_digest, ManifestItem), allCandidates, allCandidates.size());
    const std::size_t position = static_cast<std::size_t>(std::find(order.begin(), order.end(), *m_self) - order.begin());
    m_treeParent = position == 0 ? std::nullopt : std::optional<PeerIndex>(order[(position - 1) / TreeFanOut]);
}

void Exchange::markForFollowing(PeerIndex index)
{
    Peer &peer = m_peers[index];
    peer.m_shouldFollow = peer.m_isListed && !peer.m_isSelf && !peer.m_sentCorruptChunk;
}

void Exchange::followRanked(const std::vector<PeerIndex> &ranked, std::size_t successors)
{
    const std::optional<std::size_t> own = ownRank(ranked);
    if (!own || *own > FollowedPredecessors) {
        return;
    }
    const std::size_t end = *own == 0 ? std::min(ranked.size(), successors + 1) : *own;
    for (std::size_t rank = 0; rank < end; ++rank) {
        markForFollowing(ranked[rank]);
    }
}

void Exchange::selectFollowedPeers()
{
    for (Peer &peer : m_peers) {
        peer.m_shouldFollow = false;
    }
    if (m_settings.m_strategy == Strategy::Origin || !m_self) {
        return;
    }
    if (m_settings.m_strategy == Strategy::Tree) {
        if (m_treeParent) {
            markForFollowing(*m_treeParent);
        }
        return;
    }
    std::vector<Candidate> regionCandidates;
    for (const Peer &peer : m_peers) {
        if (peer.m_isListed && peer.m_isSameRegion) {
            regionCandidates.push_back(peer.m_candidate);
        }
    }
    for (const PeerIndex neighbour : ringNeighbours(m_peers[*m_self].m_candidate, regionCandidates, m_settings.m_neighbours)) {
        markForFollowing(neighbour);
    }
    for (const Chunk &chunk : m_chunks) {
        followRanked(chunk.m_downloaders, FollowedSuccessors);
        followRanked(chunk.m_importers, 0);
        if (!chunk.m_importers.empty() && chunk.m_importers.front() == *m_self && chunk.m_downloaders.front() != *m_self) {
            markForFollowing(chunk.m_downloaders.front());
        }
    }
}

std::optional<PeerIndex> Exchange::findPeer(const Core::Address &address) const
{
    for (PeerIndex index = 0; index < m_peers.size(); ++index) {
        if (m_peers[index].m_replica.m_wire == address) {
            return index;
        }
    }
    return std::nullopt;
}

std::vector<Action> Exchange::onChunkHeld(Weights::ChunkIndex chunk, Core::Instant)
{
    std::vector<Action> actions;
    if (m_held[chunk]) {
        return actions;
    }
    m_held[chunk] = true;
    ++m_heldCount;
    for (std::map<RequestId, Request>::iterator it = m_requests.begin(); it != m_requests.end();) {
        const std::map<RequestId, Request>::iterator current = it++;
        if (current->second.m_chunk == chunk) {
            actions.push_back(Action{ActionKind::Cancel, {}, current->first, chunk, false});
            closeRequest(current);
        }
    }
    return actions;
}

void Exchange::closeRequest(std::map<RequestId, Request>::iterator request)
{
    --m_chunks[request->second.m_chunk].m_openRequests;
    if (request->second.m_peer) {
        --m_peers[*request->second.m_peer].m_openRequests;
        --m_peerRequests;
    } else {
        --m_originRequests;
    }
    m_requests.erase(request);
}

void Exchange::onRequestSucceeded(RequestId id, Core::Instant now)
{
    const std::map<RequestId, Request>::iterator found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    if (found->second.m_peer) {
        const double seconds = Core::secondsBetween(found->second.m_sentAt, now);
        m_peers[*found->second.m_peer].m_consecutiveFailures = 0;
        m_smoothedRequestSeconds = m_smoothedRequestSeconds == 0 ? seconds : m_smoothedRequestSeconds + SmoothingFactor * (seconds - m_smoothedRequestSeconds);
    } else {
        recordOriginReachable(now);
        m_isOriginRecovering = false;
    }
    closeRequest(found);
}

void Exchange::onRequestFailed(RequestId id, Failure failure, Core::Instant now)
{
    const std::map<RequestId, Request>::iterator found = m_requests.find(id);
    if (found == m_requests.end()) {
        return;
    }
    const Request request = found->second;
    closeRequest(found);
    if (failure == Failure::Corrupt) {
        ++m_counts.m_badChunks;
    }
    if (!request.m_peer) {
        recordOriginFailure(failure, now);
        return;
    }
    Peer &peer = m_peers[*request.m_peer];
    switch (failure) {
    case Failure::Busy:
        ++m_counts.m_busy;
        peer.m_usableAfter = now + BusyRetryDelay;
        break;
    case Failure::Unavailable:
        recordFailure(peer, now);
        break;
    case Failure::Corrupt:
        // A single corrupt chunk may be caused by a damaged link, but this cannot be told from a peer with faulty memory, and other peers are available.
        peer.m_sentCorruptChunk = true;
        peer.m_shouldFollow = false;
        break;
    }
}

void Exchange::recordOriginFailure(Failure failure, Core::Instant now)
{
    if (failure == Failure::Corrupt) {
        // The origin is reachable, and no other replica would get a better answer.
        m_nextOriginRequestAt = m_wasLastDownloadCorrupt ? now + CorruptDownloadDelay : now;
        m_wasLastDownloadCorrupt = true;
        return;
    }
    ++m_consecutiveOriginFailures;
    m_nextOriginRequestAt = now + OriginProbeDelay;
    m_originUnreachableSince = m_originUnreachableSince.value_or(now);
}

void Exchange::recordOriginReachable(Core::Instant now)
{
    if (!canDownloadFromOrigin() || m_isOriginRecovering) {
        m_originRecoveredAt = now;
    }
    m_consecutiveOriginFailures = 0;
    m_originUnreachableSince.reset();
    m_wasLastDownloadCorrupt = false;
}

void Exchange::onOriginProbed(bool isReachable, Core::Instant now)
{
    m_originProbeSentAt.reset();
    if (!isReachable) {
        recordOriginFailure(Failure::Unavailable, now);
        return;
    }
    if (m_originUnreachableSince && now - *m_originUnreachableSince >= MinimumOriginOutage) {
        restartDownloadSchedule(now);
    }
    m_isOriginRecovering = m_isOriginRecovering || !canDownloadFromOrigin();
    recordOriginReachable(now);
}

void Exchange::restartDownloadSchedule(Core::Instant now)
{
    m_downloadScheduleStart = now;
    std::uint32_t position = 0;
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        m_downloadPositions[index] = position;
        position += m_held[index] || isHeldByPeer(index, now) ? 0 : 1;
        // By the new schedule no chunk is late.
        m_chunks[index].m_isLateDownload = false;
        m_chunks[index].m_isLateImport = false;
    }
    selectFollowedPeers(); // During the outage many more peers were searched for chunks that no peer held.
}

void Exchange::recordFailure(Peer &peer, Core::Instant now)
{
    peer.m_usableAfter = now + FailureRetryDelay;
    if (++peer.m_consecutiveFailures < FailuresUntilExclusion) {
        return;
    }
    // A peer that announces chunks and never delivers them would prevent all replicas from fetching these chunks elsewhere.
    peer.m_consecutiveFailures = 0;
    peer.m_excludedUntil = now + ExclusionTime;
}

bool Exchange::isExcluded(const Peer &peer, Core::Instant now)
{
    return peer.m_sentCorruptChunk || now < peer.m_excludedUntil;
}

bool Exchange::canDownloadFromOrigin() const
{
    return m_consecutiveOriginFailures < OriginFailuresUntilTakeover;
}

void Exchange::onRequestProgress(RequestId id, std::uint64_t bytes, Core::Instant now)
{
    const std::map<RequestId, Request>::iterator found = m_requests.find(id);
    if (found != m_requests.end() && bytes > found->second.m_bytes) {
        found->second.m_bytes = bytes;
        found->second.m_progressAt = now;
    }
}

void Exchange::onUpdate(const Core::Address &address, const HaveUpdate &update, Core::Instant now)
{
    const std::optional<PeerIndex> index = findPeer(address);
    if (!index || m_peers[*index].m_followState != FollowState::Following) {
        return;
    }
    Peer &peer = m_peers[*index];
    peer.m_lastHeardAt = now;
    peer.m_followFailures = 0;
    peer.m_hasAnswered = true;
    peer.m_canDownloadFromOrigin = update.m_canDownloadFromOrigin;
    peer.m_queuedUploads = update.m_queuedUploads;
    updateFetches(peer.m_fetches, update.m_fetching, m_manifest.chunkCount(), now);
    if (update.m_participates || now - m_startedAt < JoinGrace) {
        peer.m_absentSince.reset();
    } else {
        markAbsent(peer, now);
    }
    if (update.m_isSnapshot) {
        peer.m_holds = decodeBitmap(update.m_bitmap, m_manifest.chunkCount());
        peer.m_heldCount = static_cast<std::uint32_t>(std::count(peer.m_holds.begin(), peer.m_holds.end(), true));
    }
    for (const std::uint32_t chunk : update.m_added) {
        if (chunk < m_manifest.chunkCount() && !peer.m_holds[chunk]) {
            peer.m_holds[chunk] = true;
            ++peer.m_heldCount;
        }
    }
}

void Exchange::onFollowEnded(const Core::Address &address, Core::Instant now)
{
    const std::optional<PeerIndex> index = findPeer(address);
    if (!index || m_peers[*index].m_followState == FollowState::NotFollowing) {
        return;
    }
    Peer &peer = m_peers[*index];
    peer.m_followState = FollowState::NotFollowing;
    ++peer.m_followFailures;
    peer.m_nextFollowAt = now + backoffDelay(FollowRetryDelay, peer.m_followFailures, MaximumBackoffDoublings);
    peer.m_holds.assign(m_manifest.chunkCount(), false);
    peer.m_heldCount = 0;
    markAbsent(peer, now);
}

void Exchange::markAbsent(Peer &peer, Core::Instant now)
{
    if (!peer.m_absentSince) {
        peer.m_absentSince = now;
    }
}

bool Exchange::isAbsent(const Peer &peer, Core::Instant now) const
{
    if (!peer.m_isListed || isExcluded(peer, now)) {
        return true;
    }
    return peer.m_absentSince && now - *peer.m_absentSince >= TakeoverGrace;
}

}
