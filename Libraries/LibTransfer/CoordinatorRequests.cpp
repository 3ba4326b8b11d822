/// @file The coordinator's calls to peers and to the origin for manifests, holdings and chunks.

#include "LibTransfer/Coordinator.h"

#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Transfer {

namespace {

constexpr Core::Duration ManifestTimeout{1500};
constexpr std::uint32_t OriginAttemptPeriod = 3; ///< Every third attempt reads from the origin instead of a peer.
constexpr std::size_t ManifestFanOut = 4;
constexpr Core::Duration ChunkTimeout{30000}; ///< Upper bound only. Stalled requests are detected by their progress.

}

std::optional<Core::Address> Coordinator::manifestSource(const Version &version)
{
    const std::vector<Control::PlannedReplica> &replicas = version.m_deployment.m_replicas;
    const std::uint32_t attempt = version.m_manifestFetch.m_attempts;
    const bool isOriginAttempt = attempt % OriginAttemptPeriod == OriginAttemptPeriod - 1;
    if (m_parts.m_settings.m_strategy == Strategy::Origin || replicas.size() < 2 || isOriginAttempt) {
        return std::nullopt;
    }
    if (attempt > 0) {
        return replicas[m_random.below(replicas.size())].m_wire;
    }
    // The replicas of each region form a tree, and the roots of these trees form a tree above them. This way only few replicas ask the origin, and no replica
    // has to answer many others.
    std::vector<Candidate> allCandidates;
    std::vector<Candidate> regionCandidates;
    std::optional<Candidate> self;
    for (PeerIndex index = 0; index < replicas.size(); ++index) {
        const Candidate candidate{index, candidateHash(replicas[index].m_instance)};
        allCandidates.push_back(candidate);
        if (replicas[index].m_region == m_parts.m_self.m_region) {
            regionCandidates.push_back(candidate);
        }
        if (replicas[index].m_instance == m_parts.m_self.m_id) {
            self = candidate;
        }
    }
    const std::uint64_t item = itemHash(version.m_deployment.m_digest, ManifestItem);
    const PeerIndex top = topRanked(item, allCandidates, 1).front();
    if (!self || top == self->m_peer) {
        return std::nullopt;
    }
    const std::size_t rank = rankOf(*self, item, regionCandidates);
    if (rank == 0) {
        return replicas[top].m_wire;
    }
    return replicas[topRanked(item, regionCandidates, rank)[(rank - 1) / ManifestFanOut]].m_wire;
}

void Coordinator::fetchManifest(Version &version, Core::Instant now)
{
    if (version.m_manifestFetch.m_isOpen || now < version.m_manifestFetch.m_nextAttemptAt) {
        return;
    }
    const std::string digest = version.m_deployment.m_digest;
    const std::optional<Core::Address> peer = manifestSource(version);
    version.m_manifestFetch.m_isOpen = true;
    ++version.m_manifestFetch.m_attempts;
    if (!peer) {
        const Core::Address origin = this->origin();
        const std::string from = origin.toString();
        OriginJob job{OriginJobKind::ReadManifest, origin, OriginChunk{version.m_deployment.m_model, version.m_deployment.m_version, 0, 0, 0}, {}};
        job.m_done = [queue = m_events, digest, from](Core::Result<std::string> bytes) { queue->push(ManifestRequestEnded{digest, from, std::move(bytes)}); };
        if (!m_originWorker.offer(std::move(job))) {
            version.m_manifestFetch.m_isOpen = false;
        }
        return;
    }
    const std::string from = peer->toString();
    const std::shared_ptr<std::string> encoded = std::make_shared<std::string>();
    Wire::CallEvents events;
    events.m_onFrame = [encoded](std::string frame) { *encoded = std::move(frame); };
    events.m_onEnd = [queue = m_events, digest, from, encoded](const Wire::CallEnd &end) {
        queue->push(
            ManifestRequestEnded{digest, from, end.m_succeeded ? Core::Result<std::string>(std::move(*encoded)) : Core::Result<std::string>(end.m_error)});
    };
    m_parts.m_node->call(*peer, "transfer.manifest", Wire::pack(ManifestRequest{digest}), Wire::CallOptions{ManifestTimeout}, std::move(events));
}

void Coordinator::adoptManifest(Version &version, const std::string &encoded, const Weights::Manifest &manifest)
{
    LOG(INFO) << "manifest of digest " << version.m_deployment.m_digest << " verified, " << manifest.chunkCount() << " chunks";
    version.m_manifest = manifest;
    version.m_encodedManifest = encoded;
    for (std::vector<Waiter>::iterator it = m_manifestWaiters.begin(); it != m_manifestWaiters.end();) {
        if (it->m_digest == version.m_deployment.m_digest) {
            it->m_responder.reply(encoded);
            it = m_manifestWaiters.erase(it);
        } else {
            ++it;
        }
    }
    m_hasUnpublishedChanges = true;
    publish();
    if (m_onManifestVerified) {
        m_onManifestVerified(version.m_deployment.m_digest);
    }
}

void Coordinator::performActions(Version &version, const std::vector<Action> &actions)
{
    for (const Action &action : actions) {
        switch (action.m_kind) {
        case ActionKind::Follow:
            followPeer(version, action.m_peer);
            break;
        case ActionKind::Unfollow: {
            const std::map<Core::Address, OpenFollow>::iterator open = version.m_follows.find(action.m_peer);
            if (open != version.m_follows.end()) {
                m_parts.m_node->cancel(open->second.m_call);
                version.m_follows.erase(open);
            }
            break;
        }
        case ActionKind::RequestFromPeer:
            requestFromPeer(version, action);
            break;
        case ActionKind::RequestFromOrigin:
            requestFromOrigin(version, action);
            break;
        case ActionKind::ProbeOrigin:
            probeOrigin(version);
            break;
        case ActionKind::Cancel: {
            const std::map<RequestId, OpenRequest>::iterator open = version.m_requests.find(action.m_request);
            if (open == version.m_requests.end()) {
                break;
            }
            if (open->second.m_call != 0) {
                m_parts.m_node->cancel(open->second.m_call);
                m_bytesFromPeers.add(open->second.m_buffer->m_received.load(std::memory_order_relaxed));
            }
            version.m_requests.erase(open);
            break;
        }
        }
    }
}

void Coordinator::followPeer(Version &version, const Core::Address &peer)
{
    const std::string digest = version.m_deployment.m_digest;
    const std::uint64_t serial = m_nextSerial++;
    Wire::CallEvents events;
    events.m_onFrame = [queue = m_events, digest, peer, serial](const std::string &frame) {
        Core::Result<HaveUpdate> update = Wire::unpack<HaveUpdate>(frame, peer.toString());
        if (update) {
            queue->push(UpdateReceived{digest, peer, serial, std::move(update.value())});
        }
    };
    events.m_onEnd = [queue = m_events, digest, peer, serial](const Wire::CallEnd &) { queue->push(FollowEnded{digest, peer, serial}); };
    OpenFollow &open = version.m_follows[peer];
    open.m_serial = serial;
    open.m_call = m_parts.m_node->call(
        peer, "transfer.have", Wire::pack(HaveRequest{digest, m_parts.m_self.m_id}), Wire::CallOptions{Core::Duration(0)}, std::move(events));
}

void Coordinator::requestFromPeer(Version &version, const Action &action)
{
    const std::string digest = version.m_deployment.m_digest;
    const RequestId id = action.m_request;
    const std::shared_ptr<ChunkBuffer> buffer = std::make_shared<ChunkBuffer>(version.m_manifest->chunkLength(action.m_chunk));
    Wire::CallEvents events;
    events.m_onFrame = [buffer](const std::string &frame) {
        if (buffer->m_bytes.size() <= buffer->m_expected) {
            buffer->m_bytes += frame;
            buffer->m_received.store(buffer->m_bytes.size(), std::memory_order_relaxed);
        }
    };
    events.m_onEnd = [queue = m_events, digest, id, buffer](const Wire::CallEnd &end) { queue->push(PeerRequestEnded{digest, id, end, buffer}); };
    OpenRequest &open = version.m_requests[id];
    open.m_chunk = action.m_chunk;
    open.m_buffer = buffer;
    open.m_peer = action.m_peer;
    open.m_call = m_parts.m_node->call(action.m_peer,
                                       "transfer.chunk",
                                       Wire::pack(ChunkRequest{digest, action.m_chunk, action.m_forRegion}),
                                       Wire::CallOptions{ChunkTimeout},
                                       std::move(events));
    if (action.m_forRegion) {
        m_bytesAcrossRegions.add(buffer->m_expected);
    }
}

void Coordinator::requestFromOrigin(Version &version, const Action &action)
{
    const std::string digest = version.m_deployment.m_digest;
    const RequestId id = action.m_request;
    OpenRequest &open = version.m_requests[id];
    open.m_chunk = action.m_chunk;
    open.m_sentAt = Core::Clock::now();
    m_originRequests.add();
    writeLine(originRequestLine(digest, action.m_chunk, action.m_download.value_or(DownloadDecision{})));
    const OriginChunk chunk{version.m_deployment.m_model,
                            version.m_deployment.m_version,
                            action.m_chunk,
                            version.m_manifest->chunkOffset(action.m_chunk),
                            version.m_manifest->chunkLength(action.m_chunk)};
    OriginJob job{OriginJobKind::ReadChunk, origin(), chunk, {}};
    job.m_done = [queue = m_events, digest, id](Core::Result<std::string> bytes) { queue->push(OriginRequestEnded{digest, id, std::move(bytes)}); };
    if (!m_originWorker.offer(std::move(job))) {
        version.m_requests.erase(id);
        version.m_exchange->onRequestFailed(id, Failure::Unavailable, Core::Clock::now());
    }
}

void Coordinator::probeOrigin(Version &version)
{
    const std::string digest = version.m_deployment.m_digest;
    OriginJob job{OriginJobKind::Probe, origin(), {}, {}};
    job.m_done = [queue = m_events, digest](const Core::Result<std::string> &result) { queue->push(OriginProbeEnded{digest, result.has_value()}); };
    if (!m_originWorker.offer(std::move(job))) {
        version.m_exchange->onOriginProbed(false, Core::Clock::now());
    }
}

void Coordinator::acceptChunk(Version &version, Weights::ChunkIndex chunk, std::string bytes, Core::Instant now)
{
    if (version.m_chunks[chunk]) {
        m_duplicateChunks.add();
        return;
    }
    storeChunk(version, chunk, std::make_shared<const std::string>(std::move(bytes)), now);
}

void Coordinator::storeChunk(Version &version, Weights::ChunkIndex chunk, Weights::ChunkBytes bytes, Core::Instant now)
{
    m_chunkStore[version.m_manifest->m_chunkDigests[chunk]] = bytes;
    version.m_chunks[chunk] = std::move(bytes);
    version.m_unannouncedChunks.push_back(chunk);
    performActions(version, version.m_exchange->onChunkHeld(chunk, now));
    m_hasUnpublishedChanges = true;
}

}
