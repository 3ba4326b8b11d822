/// @file The "transfer" section of an agent's settings.
#pragma once

#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <cstdint>
#include <string>

namespace Transfer {

/// How weights travel.
enum class Strategy {
    Swarm = 0, ///< Chunks among the replicas, each chunk drawn from the origin by few.
    Origin = 1, ///< Baseline: every replica draws everything from the origin.
    Tree = 2, ///< Baseline: the whole file down a tree, each replica forwarding once it holds all.
};

struct TransferSettings
{
    Strategy m_strategy = Strategy::Swarm;
    std::uint64_t m_uploadBytesPerSecond = 0; ///< What transfer may use of the instance's link, up; 0 means no limit.
    std::uint64_t m_downloadBytesPerSecond = 0; ///< The same, down.
    std::uint64_t m_burstBytes = 128 << 10; ///< That may be moved at once after a pause, each way. On a slow link a small one keeps live traffic's wait short.
    std::uint64_t m_originBytesPerSecond = 0; ///< Rate of the origin's link, by which draws are spread over time; 0 if unknown.
    std::uint32_t m_memoryMebibytes = 4096; ///< Bound on all chunks in memory, of every version held or in transfer.
    std::uint32_t m_uploadSlots = 2; ///< Chunks that are sent at the same time.
    std::uint32_t m_queuedUploads = 12; ///< Requests that wait for a slot; more are refused as busy.
    std::uint32_t m_concurrentPeerRequests = 10; ///< Chunks asked of peers at the same time.
    std::uint32_t m_neighbours = 10; ///< Peers whose holdings are followed.
    std::uint32_t m_originConnections = 2; ///< Simultaneous requests to the origin.
    Core::Duration m_stallLimit{1500}; ///< A chunk on its way without a byte for this long is asked of somebody else.
    Core::Duration m_originTimeout{5000}; ///< Longest wait for a byte from the origin.

    bool operator==(const TransferSettings &) const = default;
};

/// Reads the section; every field has a default.
TransferSettings readTransferSettings(Settings::Reader &reader);

/// Name of a strategy as settings spell it.
std::string strategyName(Strategy strategy);

}
