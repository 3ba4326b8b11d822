/// @file Implementation of the upload queue's decisions.

#include "LibTransfer/UploadQueue.h"

#include <algorithm>
#include <tuple>

namespace Transfer {

namespace {

std::uint32_t timesSent(const QueuedUpload &upload, const std::map<std::string, SentCounts> &sent)
{
    const std::map<std::string, SentCounts>::const_iterator counts = sent.find(upload.m_digest);
    if (counts == sent.end()) {
        return 0;
    }
    const SentCounts::const_iterator count = counts->second.find(upload.m_chunk);
    return count == counts->second.end() ? 0 : count->second;
}

}

std::size_t queuedUploadLimit(std::size_t chunkBytes, std::uint64_t uploadBytesPerSecond, Core::Duration queueTime, std::size_t fallback)
{
    constexpr std::size_t minimum = 2; // With one waiting request, the uploader would be idle while the next one is on its way.
    if (queueTime.count() == 0 || uploadBytesPerSecond == 0 || chunkBytes == 0) {
        return fallback;
    }
    const double chunkSeconds = static_cast<double>(chunkBytes) / static_cast<double>(uploadBytesPerSecond);
    return std::max(minimum, static_cast<std::size_t>(std::chrono::duration<double>(queueTime).count() / chunkSeconds));
}

bool canQueueUpload(const std::vector<QueuedUpload> &waiting, bool forRegion, const UploadLimits &limits)
{
    const std::ptrdiff_t sameKind =
        std::count_if(waiting.begin(), waiting.end(), [forRegion](const QueuedUpload &upload) { return upload.m_forRegion == forRegion; });
    return static_cast<std::size_t>(sameKind) < (forRegion ? limits.m_waitingForRegion : limits.m_waiting);
}

std::optional<std::size_t> selectNextUpload(const std::vector<QueuedUpload> &waiting, const std::map<std::string, SentCounts> &sent)
{
    std::optional<std::size_t> best;
    std::tuple<bool, std::uint32_t, std::uint64_t> bestKey;
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        const QueuedUpload &upload = waiting[index];
        const std::tuple<bool, std::uint32_t, std::uint64_t> key(!upload.m_forRegion, timesSent(upload, sent), upload.m_sequence);
        if (!best || key < bestKey) {
            best = index;
            bestKey = key;
        }
    }
    return best;
}

}
