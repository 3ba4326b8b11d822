/// @file The coordinator's state of one version of the weights.
#pragma once

#include "LibControl/Model.h"
#include "LibTransfer/Events.h"
#include "LibTransfer/Exchange.h"
#include "LibWeights/HeldVersion.h"
#include "LibWire/Call.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Transfer {

/// A chunk request that has not ended.
struct OpenRequest
{
    Weights::ChunkIndex m_chunk = 0;
    Wire::CallId m_call = 0; ///< 0 for a download from the origin.
    std::shared_ptr<ChunkBuffer> m_buffer; ///< Null for a download from the origin.
    Core::Address m_peer;
    Core::Instant m_sentAt;
};

/// An open stream of a peer's holdings.
struct OpenFollow
{
    std::uint64_t m_serial = 0; ///< Distinguishes this stream's events from those of an earlier stream to the same peer.
    Wire::CallId m_call = 0;
};

/// Attempts to fetch the manifest.
struct ManifestFetch
{
    bool m_isOpen = false; ///< An attempt is in progress.
    std::uint32_t m_attempts = 0;
    Core::Instant m_nextAttemptAt; ///< No attempt starts before this time.
};

struct Version
{
    Control::Deployment m_deployment;
    bool m_isWanted = false;
    std::size_t m_priority = 0; ///< Position among the wanted versions. Lower values are completed first.
    bool m_isWaitingForMemory = false; ///< The version would exceed the memory limit.
    ManifestFetch m_manifestFetch;
    Core::Instant m_exchangeStartedAt; ///< Meaningful if m_exchange is not null.
    std::optional<Weights::Manifest> m_manifest;
    std::string m_encodedManifest; ///< Empty until the manifest is known.
    std::unique_ptr<Exchange> m_exchange; ///< Null until the manifest is known.
    std::vector<Weights::ChunkBytes> m_chunks; ///< One element for each chunk; null until held.
    std::shared_ptr<const Weights::HeldVersion> m_held; ///< Null until complete and verified.
    std::map<RequestId, OpenRequest> m_requests;
    std::map<Core::Address, OpenFollow> m_follows;
    std::vector<Wire::Responder> m_followers;
    std::vector<std::uint32_t> m_unannouncedChunks; ///< Chunks that have not been announced to the followers.
    std::vector<std::uint32_t> m_announcedFetches; ///< As of the latest update to the followers.
};

}
