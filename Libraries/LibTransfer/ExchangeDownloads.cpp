/// @file Decisions of an exchange about the origin: which chunks this replica downloads or imports, and which it leaves to others.

#include "LibTransfer/Exchange.h"

#include <algorithm>

namespace Transfer {

namespace {

/// Longest wait for the first answers of neighbours: several round trips. If the version is new, the origin's link is needlessly idle during this time.
constexpr Core::Duration NeighbourAnswerLimit{150};
/// Replicas take over from others only this long after the origin's recovery: twice the longest retry delay, so that all replicas have reached the origin by
/// then.
constexpr Core::Duration OriginSettleTime{1000};
/// A chunk that is due and not held by any followed peer for this long is downloaded even if the replica of the first rank appears healthy.
constexpr Core::Duration LastResortDelay{60000};
/**
 * A chunk that should have left the origin this long ago and is still held by at most one replica is also fetched by the second replica in rank, and after the
 * same time again by each of the next ones. The delay is longer than a chunk of a healthy downloader takes to spread, and short compared with the deadline of a
 * version. Without this rule, instances with slow links hold back their chunks, and with them the whole fleet: for 6 s if the links of three of 27 instances
 * have a twelfth of the usual rate.
 */
constexpr Core::Duration LateChunkDelay{800};
/// If an eighth of the links are slow, the first two replicas in rank are slow for one or two chunks of a version.
constexpr std::size_t LateTakeoverRanks = 3;
constexpr std::size_t MaximumScarceHolders = 1;
/// At least this many due chunks are required for each scarce chunk. If more chunks are scarce the origin is slow, and requesting chunks twice would slow it
/// down further.
constexpr std::size_t DueChunksPerScarceChunk = 4;
constexpr Core::Duration LostProbeAge{3000}; ///< After this time the result of a probe counts as lost; longer than any probe takes.
/// Chunks that are requested from the origin ahead of their turn, so that its link is not idle while a connection is opened.
constexpr double RequestedAhead = 4;

}

bool Exchange::isFirstAvailable(const std::vector<PeerIndex> &ranked, bool needsOrigin, Core::Instant now) const
{
    for (const PeerIndex index : ranked) {
        const Peer &peer = m_peers[index];
        if (peer.m_isSelf) {
            return true;
        }
        const bool cannotDownload = needsOrigin && mayReplaceDownloaders(now) && peer.m_followState == FollowState::Following && !peer.m_canDownloadFromOrigin;
        if (!isAbsent(peer, now) && !cannotDownload) {
            return false;
        }
    }
    return false;
}

/**
 * While the origin is unreachable for all replicas, all report that they cannot download. If each replica then took over from all replicas ranked before it,
 * every successor would request every chunk when the origin recovers, and its link would carry each chunk several times.
 */
bool Exchange::mayReplaceDownloaders(Core::Instant now) const
{
    const bool isSettled = !m_originRecoveredAt || now - *m_originRecoveredAt >= OriginSettleTime;
    return canDownloadFromOrigin() && isSettled;
}

bool Exchange::isHeldByPeer(Weights::ChunkIndex index, Core::Instant now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [index, now](const Peer &peer) { return peer.m_holds[index] && !isExcluded(peer, now); });
}

bool Exchange::isFetchedByPeer(Weights::ChunkIndex index, bool onlySameRegion, Core::Instant now) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [this, index, onlySameRegion, now](const Peer &peer) {
        return (peer.m_isSameRegion || !onlySameRegion) && isFetchExpected(peer.m_fetches, index, now) && !isAbsent(peer, now);
    });
}

std::vector<std::uint32_t> Exchange::fetchedChunks() const
{
    std::set<std::uint32_t> chunks;
    for (const std::pair<const RequestId, Request> &entry : m_requests) {
        const std::optional<PeerIndex> &peer = entry.second.m_peer;
        if (!peer || !m_peers[*peer].m_isSameRegion) {
            chunks.insert(entry.second.m_chunk);
        }
    }
    return {chunks.begin(), chunks.end()};
}

bool Exchange::isAnswerAwaited(const Peer &peer, Core::Instant now) const
{
    const bool isOverdue = peer.m_firstFollowedAt && now - *peer.m_firstFollowedAt >= NeighbourAnswerLimit;
    return peer.m_shouldFollow && !peer.m_hasAnswered && !peer.m_absentSince && !isOverdue;
}

bool Exchange::haveRankedAnswered(const std::vector<PeerIndex> &ranked, Core::Instant now) const
{
    return std::none_of(ranked.begin(), ranked.end(), [this, now](PeerIndex index) { return isAnswerAwaited(m_peers[index], now); });
}

bool Exchange::haveNeighboursAnswered(Core::Instant now) const
{
    // A replica that joins late finds all chunks at its neighbours. Downloading before they have answered would use the origin's link needlessly. Half of them
    // suffice to tell whether the version is new to all.
    if (now - m_startedAt >= NeighbourAnswerLimit) {
        return true;
    }
    const std::ptrdiff_t followed = std::count_if(m_peers.begin(), m_peers.end(), [](const Peer &peer) { return peer.m_shouldFollow; });
    const std::ptrdiff_t answered = std::count_if(m_peers.begin(), m_peers.end(), [](const Peer &peer) { return peer.m_shouldFollow && peer.m_hasAnswered; });
    return answered * 2 >= followed;
}

Core::Instant Exchange::downloadDueAt(Weights::ChunkIndex index, std::uint32_t round) const
{
    // If all downloads began at the same time they would share the origin's link and all end late, with nothing to pass on before. Start times by chunk
    // position serialize them without coordination between the downloaders.
    const std::uint64_t position = std::uint64_t{round} * m_manifest.chunkCount() + m_downloadPositions[index];
    const std::chrono::duration<double, std::milli> delay = m_originChunkTime * std::max(0.0, static_cast<double>(position) - RequestedAhead);
    return m_downloadScheduleStart + std::chrono::ceil<Core::Clock::duration>(delay);
}

bool Exchange::isDownloadDue(Weights::ChunkIndex index, std::uint32_t round, Core::Instant now) const
{
    return now >= downloadDueAt(index, round);
}

bool Exchange::isDownloadExpected(Weights::ChunkIndex index, Core::Instant now) const
{
    return now - m_downloadScheduleStart >= m_originChunkTime * static_cast<double>(m_downloadPositions[index]);
}

bool Exchange::areDownloadsDue(Core::Instant now) const
{
    return m_manifest.chunkCount() == 0 || isDownloadDue(m_manifest.chunkCount() - 1, 0, now);
}

bool Exchange::mayImport(Weights::ChunkIndex index, Core::Instant now) const
{
    const Chunk &chunk = m_chunks[index];
    if (chunk.m_isLateImport) {
        return true;
    }
    return chunk.m_isImporter && isFirstAvailable(chunk.m_importers, false, now) && haveRankedAnswered(chunk.m_importers, now)
        && !isFetchedByPeer(index, true, now);
}

std::optional<std::size_t> Exchange::ownRank(const std::vector<PeerIndex> &ranked) const
{
    const std::vector<PeerIndex>::const_iterator own = m_self ? std::find(ranked.begin(), ranked.end(), *m_self) : ranked.end();
    return own == ranked.end() ? std::nullopt : std::optional<std::size_t>(own - ranked.begin());
}

bool Exchange::isScarce(Weights::ChunkIndex index, bool onlySameRegion, Core::Instant now) const
{
    if (m_held[index]) {
        return false;
    }
    const std::int64_t holders = std::count_if(m_peers.begin(), m_peers.end(), [index, onlySameRegion, now](const Peer &peer) {
        return peer.m_holds[index] && (peer.m_isSameRegion || !onlySameRegion) && !isExcluded(peer, now);
    });
    return static_cast<std::size_t>(holders) <= MaximumScarceHolders;
}

bool Exchange::areFewChunksScarce(bool onlySameRegion, Core::Instant now) const
{
    std::size_t due = 0;
    std::size_t scarce = 0;
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        const bool isDue = isDownloadExpected(index, now - LateChunkDelay);
        due += isDue ? 1 : 0;
        scarce += isDue && isScarce(index, onlySameRegion, now) ? 1 : 0;
    }
    return scarce * DueChunksPerScarceChunk <= due;
}

void Exchange::markLateChunks(Core::Instant now)
{
    const bool mayBeLateDownload = areFewChunksScarce(false, now);
    const bool mayBeLateImport = areFewChunksScarce(true, now);
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        const auto isLate = [this, index, now](const std::vector<PeerIndex> &ranked, bool onlySameRegion) {
            std::optional<std::size_t> rank = ownRank(ranked);
            if (rank == 0U && isFetchedByPeer(index, onlySameRegion, now)) {
                rank = 1; // The replica that fetches the chunk acts as the first.
            }
            return rank && *rank > 0 && *rank <= LateTakeoverRanks && isDownloadExpected(index, now - LateChunkDelay * static_cast<std::int64_t>(*rank))
                && isScarce(index, onlySameRegion, now);
        };
        m_chunks[index].m_isLateDownload = mayBeLateDownload && isLate(m_chunks[index].m_downloaders, false);
        m_chunks[index].m_isLateImport = mayBeLateImport && isLate(m_chunks[index].m_importers, true);
    }
}

bool Exchange::isRequestedFromOrigin(Weights::ChunkIndex index) const
{
    return std::any_of(m_requests.begin(), m_requests.end(), [index](const std::pair<const RequestId, Request> &entry) {
        return entry.second.m_chunk == index && !entry.second.m_peer;
    });
}

std::optional<DownloadReason> Exchange::downloadReason(Weights::ChunkIndex index, Core::Instant now) const
{
    if (m_settings.m_strategy == Strategy::Swarm) {
        return downloadReasonInSwarm(index, now);
    }
    const bool mayDownload = m_settings.m_strategy == Strategy::Origin || !m_treeParent;
    return mayDownload ? std::optional<DownloadReason>(DownloadReason::NoExchange) : std::nullopt;
}

std::optional<DownloadReason> Exchange::downloadReasonInSwarm(Weights::ChunkIndex index, Core::Instant now) const
{
    const Chunk &chunk = m_chunks[index];
    if (chunk.m_isDownloader && isFirstAvailable(chunk.m_downloaders, true, now)) {
        if (!isDownloadTurn(index, now)) {
            return std::nullopt;
        }
        if (isFetchedByPeer(index, false, now)) {
            return chunk.m_isLateDownload ? std::optional<DownloadReason>(DownloadReason::Late) : std::nullopt;
        }
        return chunk.m_downloadRank == 0 ? DownloadReason::FirstRanked : DownloadReason::Successor;
    }
    if (chunk.m_isLateDownload) {
        return DownloadReason::Late;
    }
    if (isDownloadDue(index, 0, now - LastResortDelay * (chunk.m_downloadRank + 1)) && !isHeldByPeer(index, now)) {
        return DownloadReason::Overdue;
    }
    // Within the origin budget, replicas of further ranks download a second or later copy if no nearer source has delivered the chunk by their start time.
    const bool isWithinBudget = chunk.m_downloadRank < m_originCopies && isDownloadDue(index, chunk.m_downloadRank, now);
    return isWithinBudget ? std::optional<DownloadReason>(DownloadReason::OriginBudget) : std::nullopt;
}

bool Exchange::isDownloadTurn(Weights::ChunkIndex index, Core::Instant now) const
{
    return isDownloadDue(index, 0, now) && haveNeighboursAnswered(now) && haveRankedAnswered(m_chunks[index].m_downloaders, now) && !isHeldByPeer(index, now);
}

DownloadDecision Exchange::describeDownload(Weights::ChunkIndex index, DownloadReason reason, Core::Instant now) const
{
    DownloadDecision decision;
    decision.m_reason = reason;
    decision.m_rank = m_chunks[index].m_downloadRank;
    for (const Peer &peer : m_peers) {
        decision.m_replicas += peer.m_isListed ? 1 : 0;
        decision.m_followed += peer.m_shouldFollow ? 1 : 0;
        decision.m_answered += peer.m_shouldFollow && peer.m_hasAnswered ? 1 : 0;
    }
    decision.m_age = std::chrono::duration_cast<Core::Duration>(now - m_startedAt);
    decision.m_overdue = std::chrono::duration_cast<Core::Duration>(now - downloadDueAt(index, 0));
    return decision;
}

std::optional<DownloadReason> Exchange::wantedDownload(Weights::ChunkIndex index, Core::Instant now) const
{
    const Chunk &chunk = m_chunks[index];
    const bool isOpen = chunk.m_isLateDownload ? isRequestedFromOrigin(index) : chunk.m_openRequests > 0;
    return m_held[index] || isOpen ? std::nullopt : downloadReason(index, now);
}

/**
 * If every replica requested its chunks again until one request succeeds, all of them would share the origin's link when it recovers, and none would end early
 * enough to be passed on meanwhile. Probes show the recovery to all replicas at about the same time, so that they can restart their schedules together.
 */
void Exchange::probeOrigin(std::vector<Action> &actions, Core::Instant now)
{
    const bool isOpen = m_originProbeSentAt && now - *m_originProbeSentAt < LostProbeAge;
    if (isOpen || now < m_nextOriginRequestAt) {
        return;
    }
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        if (wantedDownload(index, now)) {
            m_originProbeSentAt = now;
            actions.push_back(Action{ActionKind::ProbeOrigin, {}, 0, 0, false});
            return;
        }
    }
}

void Exchange::recordDeferral(Weights::ChunkIndex index, Core::Instant now)
{
    Chunk &chunk = m_chunks[index];
    const bool isCandidate = !m_held[index] && !chunk.m_isDeferred && chunk.m_openRequests == 0 && chunk.m_isDownloader;
    if (isCandidate && isFirstAvailable(chunk.m_downloaders, true, now) && isDownloadTurn(index, now)) {
        chunk.m_isDeferred = true;
        ++m_counts.m_deferredDownloads;
    }
}

void Exchange::decideDownloads(std::vector<Action> &actions, Pacer &download, Core::Instant now)
{
    if (m_originUnreachableSince) {
        probeOrigin(actions, now);
        return;
    }
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        if (m_originRequests >= m_settings.m_originConnections || now < m_nextOriginRequestAt) {
            return;
        }
        const std::optional<DownloadReason> reason = wantedDownload(index, now);
        if (!reason) {
            recordDeferral(index, now);
            continue;
        }
        Chunk &chunk = m_chunks[index];
        if (!download.tryTake(m_manifest.chunkLength(index), now)) {
            return;
        }
        if (m_settings.m_strategy == Strategy::Swarm && chunk.m_downloadRank >= m_originCopies) {
            ++m_counts.m_takeovers;
        }
        const RequestId id = m_nextRequest++;
        m_requests[id] = Request{index, std::nullopt, now, now, 0, false};
        ++chunk.m_openRequests;
        ++m_originRequests;
        actions.push_back(Action{ActionKind::RequestFromOrigin, {}, id, index, false, describeDownload(index, *reason, now)});
    }
}

}
