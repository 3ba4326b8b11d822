/// @file The "transfer" section of an agent's settings.
#pragma once

#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"
#include "LibTransfer/OriginTimeouts.h"

#include <cstdint>
#include <string>

namespace Transfer {

/// Strategy by which weights are distributed to the replicas.
enum class Strategy {
    Swarm = 0, ///< Replicas exchange chunks; each chunk is downloaded from the origin by few of them.
    Origin = 1, ///< Baseline: every replica downloads all chunks from the origin.
    Tree = 2, ///< Baseline: replicas form a tree, and each forwards the weights once it holds all of them.
};

struct TransferSettings
{
    Strategy m_strategy = Strategy::Swarm;
    std::uint64_t m_uploadBytesPerSecond = 0; ///< Upload rate that transfers may use on the instance's link; 0 means no limit.
    std::uint64_t m_downloadBytesPerSecond = 0; ///< The same for downloads.
    /// Bytes that may be transferred at once after a pause, in each direction. On a slow link a small value limits the delay of live traffic.
    std::uint64_t m_burstBytes = 128 << 10;
    std::uint64_t m_originBytesPerSecond = 0; ///< Rate of the origin's link, used to spread downloads over time; 0 if unknown.
    std::uint32_t m_memoryMebibytes = 4096; ///< Limit on the memory for chunks of all versions held or in transfer.
    std::uint32_t m_uploadSlots = 2; ///< Chunks uploaded concurrently.
    std::uint32_t m_queuedUploads = 12; ///< Requests that wait for an upload slot. Further requests are refused as busy.
    /// Longest time that a request waits for an upload slot. It takes the place of m_queuedUploads if the upload rate is limited; 0 if not used.
    Core::Duration m_uploadQueueTime{0};
    std::uint32_t m_concurrentPeerRequests = 10; ///< Chunks requested from peers concurrently.
    std::uint32_t m_neighbours = 10; ///< Peers whose holdings are followed.
    std::uint32_t m_originConnections = 2; ///< Concurrent requests to the origin.
    Core::Duration m_stallLimit{1500}; ///< A requested chunk that makes no progress for this long is requested elsewhere.
    OriginTimeouts m_originTimeouts;

    bool operator==(const TransferSettings &) const = default;
};

/// Reads the section. All fields are optional.
TransferSettings readTransferSettings(Settings::Reader &reader);

/// Returns the name of a strategy as used in settings.
std::string strategyName(Strategy strategy);

}
