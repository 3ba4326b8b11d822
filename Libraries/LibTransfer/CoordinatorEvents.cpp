/// @file The coordinator's event handlers.

#include "LibTransfer/Coordinator.h"

#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Transfer {

namespace {

constexpr Core::Duration ManifestRetryDelay{100};
constexpr std::uint32_t MaximumManifestDoublings = 4;
constexpr std::size_t MaximumManifestWaiters = 1024;

Failure failureOf(const Wire::CallEnd &end)
{
    return end.m_error.m_code == Core::ErrorCode::Overloaded ? Failure::Busy : Failure::Unavailable;
}

}

void Coordinator::registerMethods()
{
    m_parts.m_node->handle("transfer.manifest", [queue = m_events](const Wire::IncomingCall &call) {
        const Core::Result<ManifestRequest> request = Wire::unpack<ManifestRequest>(call.m_body, call.m_peer);
        if (!request) {
            call.m_responder.fail(request.error());
            return;
        }
        queue->push(ManifestRequested{request.value().m_digest, call.m_responder});
    });
    m_parts.m_node->handle("transfer.have", [queue = m_events](const Wire::IncomingCall &call) {
        const Core::Result<HaveRequest> request = Wire::unpack<HaveRequest>(call.m_body, call.m_peer);
        if (!request) {
            call.m_responder.fail(request.error());
            return;
        }
        queue->push(FollowRequested{request.value().m_digest, call.m_responder});
    });
    m_parts.m_node->handle("transfer.chunk", [queue = m_events](const Wire::IncomingCall &call) {
        const Core::Result<ChunkRequest> request = Wire::unpack<ChunkRequest>(call.m_body, call.m_peer);
        if (!request) {
            call.m_responder.fail(request.error());
            return;
        }
        queue->push(ChunkRequested{request.value(), call.m_responder});
    });
}

void Coordinator::handle(const WakeUp &)
{
}

void Coordinator::handle(const ManifestOffered &event)
{
    applyPendingChanges(); // The targets that contain this version may have been set just before.
    Version *version = findVersion(event.m_digest);
    if (!version || version->m_manifest) {
        return;
    }
    const Core::Result<Weights::Manifest> manifest = Weights::verifyManifest(event.m_encoded, event.m_digest, m_parts.m_self.m_id);
    if (manifest) {
        adoptManifest(*version, event.m_encoded, manifest.value());
    }
}

void Coordinator::handle(const ChunkOffered &event)
{
    Version *version = findVersion(event.m_digest);
    const Core::Instant now = Core::Clock::now();
    if (!version || !version->m_manifest || (!version->m_exchange && !beginExchange(*version, now))) {
        return;
    }
    const bool isMissing = event.m_chunk < version->m_chunks.size() && !version->m_chunks[event.m_chunk];
    if (isMissing && Weights::isValidChunk(*version->m_manifest, event.m_chunk, event.m_bytes)) {
        m_bytesReused.add(event.m_bytes.size());
        acceptChunk(*version, event.m_chunk, event.m_bytes, now);
    }
}

void Coordinator::handle(const UpdateReceived &event)
{
    const Version *version = findVersion(event.m_digest);
    if (!version || !version->m_exchange) {
        return;
    }
    const std::map<Core::Address, OpenFollow>::const_iterator open = version->m_follows.find(event.m_peer);
    if (open != version->m_follows.end() && open->second.m_serial == event.m_serial) {
        version->m_exchange->onUpdate(event.m_peer, event.m_update, Core::Clock::now());
    }
}

void Coordinator::handle(const FollowEnded &event)
{
    Version *version = findVersion(event.m_digest);
    if (!version) {
        return;
    }
    const std::map<Core::Address, OpenFollow>::iterator open = version->m_follows.find(event.m_peer);
    if (open != version->m_follows.end() && open->second.m_serial == event.m_serial) {
        version->m_follows.erase(open);
        version->m_exchange->onFollowEnded(event.m_peer, Core::Clock::now());
    }
}

void Coordinator::handle(const PeerRequestEnded &event)
{
    Version *version = findVersion(event.m_digest);
    if (!version || !version->m_requests.contains(event.m_request)) {
        return;
    }
    const OpenRequest request = version->m_requests.at(event.m_request);
    version->m_requests.erase(event.m_request);
    const Core::Instant now = Core::Clock::now();
    m_bytesFromPeers.add(event.m_buffer->m_bytes.size());
    if (!event.m_end.m_succeeded) {
        m_download.refund(version->m_manifest->chunkLength(request.m_chunk));
        version->m_exchange->onRequestFailed(event.m_request, failureOf(event.m_end), now);
        return;
    }
    if (!Weights::isValidChunk(*version->m_manifest, request.m_chunk, event.m_buffer->m_bytes)) {
        m_chunksBad.add();
        LOG(WARNING) << "chunk " << request.m_chunk << " of " << event.m_digest << " from " << request.m_peer.toString() << " does not match its digest";
        version->m_exchange->onRequestFailed(event.m_request, Failure::Corrupt, now);
        return;
    }
    version->m_exchange->onRequestSucceeded(event.m_request, now);
    acceptChunk(*version, request.m_chunk, std::move(event.m_buffer->m_bytes), now);
}

void Coordinator::handle(const OriginRequestEnded &event)
{
    Version *version = findVersion(event.m_digest);
    if (event.m_bytes) {
        m_bytesFromOrigin.add(event.m_bytes.value().size());
    }
    if (!version || !version->m_requests.contains(event.m_request)) {
        return;
    }
    const OpenRequest request = version->m_requests.at(event.m_request);
    version->m_requests.erase(event.m_request);
    const Core::Instant now = Core::Clock::now();
    const auto writeResponse = [this, &event, &request, now](std::string_view outcome) {
        writeLine(originResponseLine(event.m_digest, request.m_chunk, outcome, std::chrono::duration_cast<Core::Duration>(now - request.m_sentAt)));
    };
    if (!event.m_bytes) {
        LOG_EVERY_N(WARNING, 16) << event.m_bytes.error(); // Each chunk may fail many times while the origin is unreachable.
        writeResponse("failed");
        version->m_exchange->onRequestFailed(event.m_request, Failure::Unavailable, now);
        return;
    }
    if (!Weights::isValidChunk(*version->m_manifest, request.m_chunk, event.m_bytes.value())) {
        m_chunksBad.add();
        LOG(WARNING) << "chunk " << request.m_chunk << " of " << event.m_digest << " from the origin does not match its digest";
        writeResponse("corrupt");
        version->m_exchange->onRequestFailed(event.m_request, Failure::Corrupt, now);
        return;
    }
    writeResponse("ok");
    version->m_exchange->onRequestSucceeded(event.m_request, now);
    acceptChunk(*version, request.m_chunk, event.m_bytes.value(), now);
}

void Coordinator::handle(const OriginProbeEnded &event)
{
    const Version *version = findVersion(event.m_digest);
    if (version && version->m_exchange) {
        version->m_exchange->onOriginProbed(event.m_isReachable, Core::Clock::now());
    }
}

void Coordinator::handle(const ManifestRequestEnded &event)
{
    Version *version = findVersion(event.m_digest);
    if (!version || version->m_manifest) {
        return;
    }
    version->m_manifestFetch.m_isOpen = false;
    const Core::Result<Weights::Manifest> manifest = event.m_encoded ? Weights::verifyManifest(event.m_encoded.value(), event.m_digest, event.m_from)
                                                                     : Core::Result<Weights::Manifest>(event.m_encoded.error());
    if (manifest) {
        adoptManifest(*version, event.m_encoded.value(), manifest.value());
        return;
    }
    const std::uint32_t doublings = std::min(version->m_manifestFetch.m_attempts, MaximumManifestDoublings);
    version->m_manifestFetch.m_nextAttemptAt = Core::Clock::now() + ManifestRetryDelay * (std::int64_t{1} << doublings);
    if (manifest.error().m_code == Core::ErrorCode::Corrupt) {
        m_manifestsBad.add();
        LOG(WARNING) << manifest.error();
    }
}

void Coordinator::handle(const ManifestRequested &event)
{
    const Version *version = findVersion(event.m_digest);
    if (version && version->m_manifest) {
        event.m_responder.reply(version->m_encodedManifest);
        return;
    }
    // Plans reach replicas at slightly different times, so a version that is unknown now may be wanted soon.
    std::erase_if(m_manifestWaiters, [](const Waiter &waiter) { return waiter.m_responder.isCancelled(); });
    if (m_manifestWaiters.size() >= MaximumManifestWaiters) {
        event.m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "give manifest", "", "too many wait"));
        return;
    }
    m_manifestWaiters.push_back(Waiter{event.m_digest, event.m_responder});
}

void Coordinator::handle(const FollowRequested &event)
{
    Version *version = findVersion(event.m_digest);
    if (version) {
        event.m_responder.send(Wire::pack(snapshot(*version)));
        version->m_followers.push_back(event.m_responder);
        return;
    }
    if (m_unknownVersionFollowers.size() >= MaximumUnknownVersionFollowers) {
        event.m_responder.fail(Core::makeError(Core::ErrorCode::Overloaded, "follow holdings", "", "too many followers of unknown versions"));
        return;
    }
    event.m_responder.send(Wire::pack(HaveUpdate{}));
    m_unknownVersionFollowers.push_back(Waiter{event.m_digest, event.m_responder});
}

void Coordinator::handle(const ChunkRequested &event)
{
    const Version *version = findVersion(event.m_request.m_digest);
    const bool isHeld = version && event.m_request.m_chunk < version->m_chunks.size() && version->m_chunks[event.m_request.m_chunk];
    if (!isHeld) {
        event.m_responder.fail(Core::makeError(Core::ErrorCode::NotFound, "send chunk", "", "not held"));
        return;
    }
    const QueuedUpload upload{0, event.m_request.m_digest, event.m_request.m_chunk, event.m_request.m_forRegion};
    m_uploadWorker.offer(UploadJob{upload, version->m_chunks[event.m_request.m_chunk], event.m_responder});
}

}
