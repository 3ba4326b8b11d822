/// @file Decides which requests of peers are queued and which is served next. Pure functions.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Transfer {

/// A queued request, as far as it matters for the decision.
struct QueuedUpload
{
    std::uint64_t m_sequence = 0; ///< Position in the order of arrival.
    std::string m_digest;
    std::uint32_t m_chunk = 0;
    bool m_forRegion = false;

    bool operator==(const QueuedUpload &) const = default;
};

/// Limits of a queue.
struct UploadLimits
{
    std::size_t m_waiting = 6;
    std::size_t m_waitingForRegion = 32; ///< First copies for other regions are few and must not be refused because many other requests are queued.
};

/// Returns how many requests for chunks of this size may be queued, so that none waits longer than the queue's time limit. @p uploadBytesPerSecond: 0 for no
/// limit.
std::size_t queuedUploadLimit(std::size_t chunkBytes, std::uint64_t uploadBytesPerSecond, Core::Duration queueTime, std::size_t fallback);

/// Returns whether another request may be queued.
bool canQueueUpload(const std::vector<QueuedUpload> &waiting, bool forRegion, const UploadLimits &limits);

/// How often each chunk of a version has been sent.
using SentCounts = std::map<std::uint32_t, std::uint32_t>;

/**
 * Returns the position of the request to serve next, or nothing if none is queued.
 *
 * First copies for other regions go first, because a whole region waits for each of them. Then comes the chunk that was sent least often, because it is
 * probably the rarest and its receiver can pass it on, and then the oldest request.
 */
std::optional<std::size_t> selectNextUpload(const std::vector<QueuedUpload> &waiting, const std::map<std::string, SentCounts> &sent);

}
