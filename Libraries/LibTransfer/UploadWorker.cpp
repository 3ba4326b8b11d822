/// @file Implementation of the upload worker.

#include "LibTransfer/UploadWorker.h"

namespace Transfer {

namespace {

constexpr std::size_t FragmentBytes = 16 << 10;
constexpr std::size_t MaximumBacklog = 64 << 10; ///< Bytes queued at one stream before other streams are served first.
constexpr std::size_t MaximumActive = 32;
constexpr Core::Duration StalledAfter{200}; ///< A stream that accepts no bytes for this long no longer occupies a slot.
constexpr Core::Duration AbandonAfter{5000};
constexpr Core::Duration BlockedWait{2};
constexpr Core::Duration IdleWait{500};
constexpr std::size_t MaximumCountedVersions = 16;

Core::Error busyError()
{
    return Core::makeError(Core::ErrorCode::Overloaded, "send chunk", "", "busy");
}

}

UploadWorker::UploadWorker(const TransferSettings &settings, Telemetry::Metrics &metrics)
    : m_settings(settings)
    , m_bytesSent(metrics.counter("transfer_bytes_uploaded_total"))
    , m_refused(metrics.counter("transfer_uploads_refused_total"))
    , m_abandoned(metrics.counter("transfer_uploads_given_up_total"))
    , m_pacer(settings.m_uploadBytesPerSecond, settings.m_burstBytes, Core::Clock::now())
{
}

UploadWorker::~UploadWorker()
{
    stop();
}

void UploadWorker::start()
{
    m_running = true;
    m_thread = std::thread([this] { run(); });
}

void UploadWorker::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_running = false;
    }
    m_changed.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void UploadWorker::offer(UploadJob job)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::vector<QueuedUpload> waiting;
        for (const UploadJob &other : m_waiting) {
            waiting.push_back(other.m_upload);
        }
        UploadLimits limits;
        limits.m_waiting = queuedUploadLimit(job.m_bytes->size(), m_settings.m_uploadBytesPerSecond, m_settings.m_uploadQueueTime, m_settings.m_queuedUploads);
        if (!m_running || !canQueueUpload(waiting, job.m_upload.m_forRegion, limits)) {
            m_refused.add();
            job.m_responder.fail(busyError());
            return;
        }
        job.m_upload.m_sequence = m_nextSequence++;
        m_waiting.push_back(std::move(job));
    }
    m_changed.notify_all();
}

std::uint32_t UploadWorker::uploadCount() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<std::uint32_t>(m_waiting.size() + m_active.size());
}

void UploadWorker::charge(std::uint64_t bytes)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pacer.charge(bytes, Core::Clock::now());
}

std::size_t UploadWorker::countProgressingUploads(Core::Instant now) const
{
    // A frozen receiver must not take a slot from receivers that make progress.
    const std::ptrdiff_t progressing =
        std::count_if(m_active.begin(), m_active.end(), [now](const ActiveUpload &active) { return now - active.m_progressAt < StalledAfter; });
    return static_cast<std::size_t>(progressing);
}

void UploadWorker::fillSlots(Core::Instant now)
{
    while (!m_waiting.empty() && countProgressingUploads(now) < m_settings.m_uploadSlots && m_active.size() < MaximumActive) {
        std::vector<QueuedUpload> waiting;
        for (const UploadJob &job : m_waiting) {
            waiting.push_back(job.m_upload);
        }
        const std::optional<std::size_t> next = selectNextUpload(waiting, m_sentCounts);
        const std::vector<UploadJob>::iterator position = m_waiting.begin() + static_cast<std::ptrdiff_t>(*next);
        if (!position->m_responder.isCancelled()) {
            if (m_sentCounts.size() > MaximumCountedVersions) {
                m_sentCounts.clear();
            }
            ++m_sentCounts[position->m_upload.m_digest][position->m_upload.m_chunk];
            m_active.push_back(ActiveUpload{std::move(*position), 0, now});
        }
        m_waiting.erase(position);
    }
}

void UploadWorker::removeEndedUploads(Core::Instant now)
{
    for (std::list<ActiveUpload>::iterator it = m_active.begin(); it != m_active.end();) {
        if (it->m_job.m_responder.isCancelled()) {
            it = m_active.erase(it);
            continue;
        }
        if (now - it->m_progressAt > AbandonAfter) {
            m_abandoned.add();
            it->m_job.m_responder.fail(Core::makeError(Core::ErrorCode::Timeout, "send chunk", "", "the receiver takes nothing"));
            it = m_active.erase(it);
            continue;
        }
        ++it;
    }
}

/// Sends a fragment on the first stream that accepts one. Returns false if no stream does.
bool UploadWorker::sendFragment(Core::Instant now)
{
    for (std::list<ActiveUpload>::iterator it = m_active.begin(); it != m_active.end(); ++it) {
        if (it->m_job.m_responder.backlog() >= MaximumBacklog) {
            continue;
        }
        const std::string_view rest = std::string_view(*it->m_job.m_bytes).substr(it->m_sentBytes);
        const std::string_view fragment = rest.substr(0, FragmentBytes);
        if (!m_pacer.tryTake(fragment.size(), now)) {
            return true;
        }
        it->m_job.m_responder.send(std::string(fragment));
        m_bytesSent.add(fragment.size());
        it->m_sentBytes += fragment.size();
        it->m_progressAt = now;
        if (it->m_sentBytes == it->m_job.m_bytes->size()) {
            it->m_job.m_responder.finish();
            m_active.erase(it);
        } else {
            m_active.splice(m_active.end(), m_active, it);
        }
        return true;
    }
    return false;
}

void UploadWorker::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (m_running) {
        const Core::Instant now = Core::Clock::now();
        removeEndedUploads(now);
        fillSlots(now);
        if (m_active.empty()) {
            m_changed.wait_for(lock, IdleWait);
            continue;
        }
        const Core::Duration pause = m_pacer.timeUntilReady(now);
        if (pause.count() > 0) {
            m_changed.wait_for(lock, pause);
            continue;
        }
        if (!sendFragment(now)) {
            m_changed.wait_for(lock, BlockedWait);
        }
    }
    for (const UploadJob &job : m_waiting) {
        job.m_responder.fail(busyError());
    }
    for (const ActiveUpload &active : m_active) {
        active.m_job.m_responder.fail(busyError());
    }
    m_waiting.clear();
    m_active.clear();
}

}
