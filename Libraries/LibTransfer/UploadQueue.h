/// @file Which requests of peers are taken, and which goes next: pure decisions.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Transfer {

/// What the decision needs to know of one request.
struct QueuedUpload
{
    std::uint64_t m_sequence = 0; ///< Order of arrival.
    std::string m_digest;
    std::uint32_t m_chunk = 0;
    bool m_forRegion = false;

    bool operator==(const QueuedUpload &) const = default;
};

/// Bounds of a queue.
struct UploadLimits
{
    std::size_t m_waiting = 6;
    std::size_t m_waitingForRegion = 32; ///< First copies for other regions are few and must not be turned away by the crowd.
};

/// True if one more request may wait.
bool canQueueUpload(const std::vector<QueuedUpload> &waiting, bool forRegion, const UploadLimits &limits);

/// How often each chunk of a version has been sent.
using SentCounts = std::map<std::uint32_t, std::uint32_t>;

/**
 * Position of the request to serve next; empty if none waits.
 *
 * First copies for other regions go first, because a whole region waits for each; then the chunk that was sent least, because it
 * is likely the rarest and its receiver can pass it on; then the oldest request.
 */
std::optional<std::size_t> selectNextUpload(const std::vector<QueuedUpload> &waiting, const std::map<std::string, SentCounts> &sent);

}
