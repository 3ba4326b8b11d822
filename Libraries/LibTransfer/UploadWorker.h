/// @file The worker that sends chunks to peers, with limits on the rate and on concurrent uploads.
#pragma once

#include "LibTelemetry/Metrics.h"
#include "LibTransfer/Pacer.h"
#include "LibTransfer/TransferSettings.h"
#include "LibTransfer/UploadQueue.h"
#include "LibWeights/HeldVersion.h"
#include "LibWire/Call.h"

#include <condition_variable>
#include <list>
#include <mutex>
#include <thread>

namespace Transfer {

/// One chunk to be sent to one peer.
struct UploadJob
{
    QueuedUpload m_upload;
    Weights::ChunkBytes m_bytes;
    Wire::Responder m_responder;
};

/// Queues and sends chunks on its own thread. Thread-safe.
class UploadWorker
{
public:
    UploadWorker(const TransferSettings &settings, Telemetry::Metrics &metrics);
    ~UploadWorker();

    void start();
    void stop();

    /// Queues the job, or ends it with the error Overloaded.
    void offer(UploadJob job);
    /// Returns the number of jobs that are queued or being sent.
    std::uint32_t uploadCount() const;
    /// Charges bytes of live traffic on the link.
    void charge(std::uint64_t bytes);

private:
    struct ActiveUpload
    {
        UploadJob m_job;
        std::size_t m_sentBytes = 0;
        Core::Instant m_progressAt;
    };

    void run();
    void fillSlots(Core::Instant now);
    bool sendFragment(Core::Instant now);
    void removeEndedUploads(Core::Instant now);
    std::size_t countProgressingUploads(Core::Instant now) const;

    const TransferSettings m_settings;
    Telemetry::Counter &m_bytesSent;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_abandoned;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_running = false;
    Pacer m_pacer;
    std::uint64_t m_nextSequence = 0;
    std::vector<UploadJob> m_waiting; ///< Bounded by canQueueUpload().
    std::list<ActiveUpload> m_active; ///< The first element is the next to send.
    std::map<std::string, SentCounts> m_sentCounts;
    std::thread m_thread;
};

}
