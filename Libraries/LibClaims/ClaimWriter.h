/// @file Writer that appends claims to the log in batches and reports the result of each.
#pragma once

#include "LibClaims/ClaimMessages.h"
#include "LibCore/Clock.h"
#include "LibCore/Ring.h"
#include "LibPlatform/Log.h"
#include "LibTelemetry/Metrics.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace Claims {

struct WriterSettings
{
    Core::Duration m_batchInterval{10}; ///< Time for which claims are collected for one append.
    Core::Duration m_readBackTimeout{2000}; ///< Longest wait until an appended batch is read back.
    Core::Duration m_slowAppendLimit{500}; ///< While an append takes longer than this, new claims are refused at once as during an outage.
    Core::Duration m_retryPause{200}; ///< Time after a failed append or read before the next one; claims are refused meanwhile.
    Core::Duration m_checkInterval{1000}; ///< Interval of the check that the log still holds the last record applied.
    Offset m_window = 20000; ///< Records after which a key expires; must be well below the log's retention.
    std::size_t m_maximumWaiting = 8192; ///< Maximum requests that wait for an append.

    bool operator==(const WriterSettings &) const = default;
};

/// Called once with the result of a request. Runs on the caller's or the writer's threads, so it must not block.
using ClaimCallback = std::function<void(const Core::Result<ClaimAnswer> &)>;

/**
 * Reads and writes the claims stream on two threads: one appends, the other reads and applies records.
 *
 * A request is answered only after its batch was read back and applied, so that the result holds for every reader. If the answer to an append is
 * lost, the reader finds the batch by its id, or fails it after the read-back timeout. Failing it is safe, since a claim has no effect by itself:
 * the call that made it ends as not run and never dispatches the attempt, even if the claim is appended later.
 */
class ClaimWriter
{
public:
    ClaimWriter(Platform::Log &log, std::string name, WriterSettings settings, Telemetry::Metrics &metrics);
    ~ClaimWriter();

    void start();
    void stop();

    /**
     * Starts or stops reading the stream. A writer that is not reading refuses claims and discards what it has read; a later start begins at the
     * oldest record that the log holds, so that no record in between is missed. Initially off.
     */
    void setReading(bool reading);

    /// Queues a request. Refuses it at once with Unavailable while the log is down or slow, and with Overloaded if too many requests are waiting.
    void submit(ClaimRequest request, ClaimCallback callback);

    /// Returns the epoch for new keys. Fails with Unavailable until the stream has been read to its end.
    Core::Result<Epoch> epoch() const;
    /// Number of keys held.
    std::size_t keyCount() const;

private:
    struct PendingRequest
    {
        ClaimRequest m_request;
        ClaimCallback m_callback;
    };

    /// A batch that is being appended or waiting to be read back.
    struct OpenBatch
    {
        std::vector<PendingRequest> m_requests;
        Core::Instant m_openedAt;
    };

    void appendLoop();
    std::vector<PendingRequest> collectBatch(PendingRequest first);
    void appendBatch(std::vector<PendingRequest> requests);
    void readLoop();
    void readPage();
    void checkLastRecord();
    bool startReading();
    void restartStream(Offset first);
    void applyPage(const Platform::LogPage &page);
    void completeBatch(OpenBatch batch, const AppliedBatch &applied, const Epoch &epoch);
    void failOpenBatch(const std::string &id, const Core::Error &error);
    void failTimedOutBatches(Core::Instant now);
    bool isRefusing(Core::Instant now) const;
    Core::Error unavailableError(const std::string &detail) const;

    Platform::Log &m_log;
    const std::string m_name;
    const WriterSettings m_settings;
    Telemetry::Counter &m_batches;
    Telemetry::Counter &m_claims;
    Telemetry::Counter &m_refused;
    Telemetry::Counter &m_appendAnswersLost;
    Telemetry::Counter &m_restarts;
    Core::Ring<PendingRequest> m_waiting;
    std::atomic<bool> m_running = false;

    mutable std::mutex m_mutex; ///< Guards the members below, except for the threads.
    ClaimTable m_table;
    std::string m_lastRecordBody; ///< The record at m_table.position().
    bool m_reading = false; ///< As requested by setReading().
    bool m_readingStarted = false; ///< The offset of the oldest record is known, and m_table starts there.
    bool m_caughtUp = false; ///< The stream has been read to its end, and the last read succeeded.
    /// m_caughtUp has been true at some time since this writer started reading. Epochs only increase, so the last one remains valid while the log is down.
    /// Callers need it even then to form a key; a call with that key is refused as not run.
    bool m_hasCaughtUp = false;
    bool m_startNewGeneration = false; ///< The next batch starts a new generation.
    std::unordered_map<std::string, OpenBatch> m_openBatches; ///< By batch id.
    Core::Instant m_refuseUntil;
    std::optional<Core::Instant> m_appendStartedAt; ///< Set while an append is in progress.

    std::thread m_appendThread;
    std::thread m_readThread;
};

}
