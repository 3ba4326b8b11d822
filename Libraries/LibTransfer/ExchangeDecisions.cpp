/// @file Decisions of an exchange: which peers to follow, what to request from peers and what to request again.

#include "LibTransfer/Exchange.h"

#include <algorithm>

namespace Transfer {

namespace {

constexpr std::uint32_t RequestsPerPeer = 2;
constexpr Core::Duration PeerSilenceLimit{2500}; ///< Peers send a heartbeat every half second.
constexpr Core::Duration FirstAnswerLimit{1000}; ///< Longest wait for the first answer of a peer, which is sent at once. Instances that are gone never send it.
constexpr Core::Duration SourceCheckInterval{100};
constexpr int QueueToStallLimitRatio = 3; ///< Ratio of the time that an answer may take to begin to the time that it may stall afterwards.
constexpr Core::Duration MinimumHedgeAge{500};
constexpr double HedgeFactor = 4;

}

std::vector<SourcePeer> Exchange::sourcePeers(Core::Instant now) const
{
    std::vector<SourcePeer> peers;
    for (PeerIndex index = 0; index < m_peers.size(); ++index) {
        const Peer &peer = m_peers[index];
        const bool waitsForCompletePeer = m_settings.m_strategy == Strategy::Tree && peer.m_heldCount < m_manifest.chunkCount();
        if (peer.m_followState != FollowState::Following || peer.m_heldCount == 0 || isExcluded(peer, now) || waitsForCompletePeer) {
            continue;
        }
        SourcePeer source;
        source.m_peer = index;
        // The tree ignores region boundaries.
        source.m_isSameRegion = peer.m_isSameRegion || m_settings.m_strategy == Strategy::Tree;
        source.m_isUsable = now >= peer.m_usableAfter && peer.m_openRequests < RequestsPerPeer && now - peer.m_lastHeardAt < PeerSilenceLimit;
        source.m_load = peer.m_openRequests + peer.m_queuedUploads;
        source.m_holds = &peer.m_holds;
        peers.push_back(source);
    }
    return peers;
}

std::vector<RequestId> Exchange::openRequests() const
{
    std::vector<RequestId> open;
    for (const std::pair<const RequestId, Request> &entry : m_requests) {
        open.push_back(entry.first);
    }
    return open;
}

std::vector<Action> Exchange::decide(Pacer &download, Core::Instant now, TransferMode mode)
{
    std::vector<Action> actions;
    if (!m_self) {
        return actions;
    }
    decideStalls(actions, now);
    if (mode == TransferMode::MonitorOnly) {
        return actions;
    }
    decideFollows(actions, now);
    if (!isComplete() && mode != TransferMode::PeersOnly) {
        decideDownloads(actions, download, now);
    }
    if (!isComplete() && mode != TransferMode::OwnDownloadsOnly) {
        decideRequests(actions, download, now);
        decideHedges(actions, download, now);
    }
    return actions;
}

void Exchange::decideFollows(std::vector<Action> &actions, Core::Instant now)
{
    const bool isCheckDue = m_settings.m_strategy == Strategy::Swarm && now >= m_nextSourceCheck;
    m_nextSourceCheck = isCheckDue ? now + SourceCheckInterval : m_nextSourceCheck;
    if (isCheckDue && !isComplete()) {
        markLateChunks(now);
    }
    for (Weights::ChunkIndex index = 0; isCheckDue && index < m_manifest.chunkCount(); ++index) {
        if (!m_held[index] && (m_chunks[index].m_openRequests == 0 || m_chunks[index].m_isLateImport)) {
            followSources(index, now);
        }
    }
    for (Peer &peer : m_peers) {
        const bool wanted = peer.m_shouldFollow && !isComplete();
        if (wanted && peer.m_followState == FollowState::NotFollowing && now >= peer.m_nextFollowAt) {
            peer.m_followState = FollowState::Following;
            peer.m_lastHeardAt = now;
            peer.m_firstFollowedAt = peer.m_firstFollowedAt.value_or(now);
            actions.push_back(Action{ActionKind::Follow, peer.m_replica.m_wire, 0, 0, false});
        } else if (!wanted && peer.m_followState == FollowState::Following && peer.m_openRequests == 0) {
            peer.m_followState = FollowState::NotFollowing;
            actions.push_back(Action{ActionKind::Unfollow, peer.m_replica.m_wire, 0, 0, false});
        }
        const Core::Duration silenceLimit = peer.m_hasAnswered ? PeerSilenceLimit : FirstAnswerLimit;
        if (peer.m_followState == FollowState::Following && now - peer.m_lastHeardAt > silenceLimit) {
            // The socket may stay open long after the peer froze, so only heartbeats count.
            markAbsent(peer, now);
        }
    }
}

/// Follows the replicas that must hold the chunk before it can reach this one.
void Exchange::followSources(Weights::ChunkIndex index, Core::Instant now)
{
    const Chunk &chunk = m_chunks[index];
    if (mayImport(index, now)) {
        for (const PeerIndex downloader : chunk.m_downloaders) {
            markForFollowing(downloader);
            if (!isAbsent(m_peers[downloader], now)) {
                break;
            }
        }
    }
    if (!(chunk.m_isDownloader || chunk.m_isImporter) || !isDownloadDue(index, 0, now - m_probeDelay) || isHeldByPeer(index, now)) {
        return;
    }
    // The chunk should have spread by now. Follow all replicas that could have fetched it, including the importers of other regions.
    for (const PeerIndex peer : chunk.m_downloaders) {
        markForFollowing(peer);
    }
    for (const PeerIndex peer : chunk.m_importers) {
        markForFollowing(peer);
    }
    for (const std::vector<Candidate> &region : m_regions) {
        for (const PeerIndex peer : topRanked(itemHash(m_identity.m_digest, index), region, 1)) {
            markForFollowing(peer);
        }
    }
}

bool Exchange::isStalled(const Request &request, Core::Instant now) const
{
    if (request.m_bytes > 0) {
        return now - request.m_progressAt >= m_settings.m_stallLimit;
    }
    // The answer has not begun. The request is either queued at a peer that sends heartbeats, or was sent to a peer that froze.
    const bool isSilent = now - m_peers[*request.m_peer].m_lastHeardAt > PeerSilenceLimit;
    return now - request.m_sentAt >= (isSilent ? m_settings.m_stallLimit : QueueToStallLimitRatio * m_settings.m_stallLimit);
}

void Exchange::decideStalls(std::vector<Action> &actions, Core::Instant now)
{
    for (std::map<RequestId, Request>::iterator it = m_requests.begin(); it != m_requests.end();) {
        const std::map<RequestId, Request>::iterator current = it++;
        const Request &request = current->second;
        if (!request.m_peer || !isStalled(request, now)) {
            continue;
        }
        ++m_counts.m_stalls;
        recordFailure(m_peers[*request.m_peer], now);
        actions.push_back(Action{ActionKind::Cancel, {}, current->first, request.m_chunk, false});
        closeRequest(current);
    }
}

Action Exchange::openPeerRequest(Weights::ChunkIndex index, PeerIndex peer, Core::Instant now)
{
    const RequestId id = m_nextRequest++;
    m_requests[id] = Request{index, peer, now, now, 0, false};
    ++m_chunks[index].m_openRequests;
    ++m_peers[peer].m_openRequests;
    ++m_peerRequests;
    return Action{ActionKind::RequestFromPeer, m_peers[peer].m_replica.m_wire, id, index, !m_peers[peer].m_isSameRegion};
}

void Exchange::decideRequests(std::vector<Action> &actions, Pacer &download, Core::Instant now)
{
    if (m_settings.m_strategy == Strategy::Origin || m_peerRequests >= m_settings.m_concurrentPeerRequests) {
        return;
    }
    std::vector<WantedChunk> wanted;
    for (Weights::ChunkIndex index = 0; index < m_manifest.chunkCount(); ++index) {
        if (!m_held[index] && m_chunks[index].m_openRequests == 0) {
            wanted.push_back(WantedChunk{index, mayImport(index, now)});
        }
    }
    while (m_peerRequests < m_settings.m_concurrentPeerRequests) {
        const std::optional<ChunkSelection> selection = selectChunk(wanted, sourcePeers(now), m_random);
        if (!selection || !download.tryTake(m_manifest.chunkLength(selection->m_chunk), now)) {
            return;
        }
        actions.push_back(openPeerRequest(selection->m_chunk, selection->m_peer, now));
        std::erase_if(wanted, [&selection](const WantedChunk &chunk) { return chunk.m_chunk == selection->m_chunk; });
    }
}

void Exchange::decideHedges(std::vector<Action> &actions, Pacer &download, Core::Instant now)
{
    // A peer that is slow but alive delays the end of the burst, when nothing else is left to request.
    const double secondsUntilHedge = std::max(HedgeFactor * m_smoothedRequestSeconds, std::chrono::duration<double>(MinimumHedgeAge).count());
    std::vector<RequestId> slow;
    for (const std::pair<const RequestId, Request> &entry : m_requests) {
        const bool isLate = Core::secondsBetween(entry.second.m_sentAt, now) > secondsUntilHedge;
        if (entry.second.m_peer && !entry.second.m_isHedged && isLate && m_chunks[entry.second.m_chunk].m_openRequests == 1) {
            slow.push_back(entry.first);
        }
    }
    for (const RequestId id : slow) {
        if (m_peerRequests >= m_settings.m_concurrentPeerRequests) {
            return;
        }
        Request &request = m_requests.at(id);
        std::vector<SourcePeer> peers = sourcePeers(now);
        std::erase_if(peers, [&request](const SourcePeer &peer) { return peer.m_peer == *request.m_peer; });
        const std::optional<PeerIndex> peer = selectPeer(WantedChunk{request.m_chunk, mayImport(request.m_chunk, now)}, peers, m_random);
        if (!peer || !download.tryTake(m_manifest.chunkLength(request.m_chunk), now)) {
            continue;
        }
        request.m_isHedged = true;
        ++m_counts.m_hedges;
        actions.push_back(openPeerRequest(request.m_chunk, *peer, now));
    }
}

}
