/// @file The duty that appends claims in batches and tells each what became of it.
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
    Core::Duration m_batchInterval{10}; ///< Time that claims are collected for one append.
    Core::Duration m_readBackTimeout{2000}; ///< Longest wait for an appended batch to be read back.
    Core::Duration m_slowAppendLimit{500}; ///< An append that takes longer counts as an outage: new claims are refused at once.
    Core::Duration m_retryPause{200}; ///< After a failed append, time during which claims are refused without a try.
    Core::Duration m_checkInterval{1000}; ///< How often it is checked that the log still holds the last record folded.
    Offset m_window = 20000; ///< Records that a key lives for; well under the log's retention.
    std::size_t m_maximumWaiting = 8192; ///< Requests that wait for an append.

    bool operator==(const WriterSettings &) const = default;
};

/// Called once with what became of a request; on the writer's threads, so it must not block.
using ClaimCallback = std::function<void(const Core::Result<ClaimAnswer> &)>;

/**
 * Reads and writes the claims stream, on two threads: one appends, one reads and folds.
 *
 * An answer is given only once the batch was read back and folded, so that it holds for every reader. If an append's answer is lost, the reader
 * settles it: the batch is found by its id or, after the settle timeout, given up. Giving up is safe, since a claim does nothing by itself:
 * the call that made it ends as not run, and the attempt is never dispatched, wherever its claim may land.
 */
class ClaimWriter
{
public:
    ClaimWriter(Platform::Log &log, std::string name, WriterSettings settings, Telemetry::Metrics &metrics);
    ~ClaimWriter();

    void start();
    void stop();

    /**
     * Starts or stops reading the stream. An entry that is no reader refuses claims, and forgets what it has read: a later start begins at the
     * oldest record that the log holds, so that nothing in between is missed. Off at first.
     */
    void setReading(bool reading);

    /// Queues a request. While the log is down or slow it is refused at once with Unavailable.
    void submit(ClaimRequest request, ClaimCallback callback);

    /// For new keys; fails with Unavailable until the stream has been read to its end.
    Core::Result<Epoch> epoch() const;
    std::size_t keyCount() const;

private:
    struct PendingRequest
    {
        ClaimRequest m_request;
        ClaimCallback m_callback;
    };

    /// A batch that is being appended or waits to be read back.
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
    void completeBatch(OpenBatch batch, const AppliedBatch &folded, const Epoch &epoch);
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

    mutable std::mutex m_mutex; ///< Guards what follows.
    ClaimTable m_table;
    std::string m_lastRecordBody; ///< The record at m_table.position().
    bool m_reading = false; ///< Asked for by setReading().
    bool m_readingStarted = false; ///< The oldest record is known, and m_table begins there.
    bool m_caughtUp = false; ///< The stream has been read to its end, and reading works.
    /// m_current was true since this writer began to read. An epoch only ever grows, so that the last one known stays good for callers while the log is down;
    /// without one they could not even form the key of the call that is to be refused as not run.
    bool m_hasCaughtUp = false;
    bool m_startNewGeneration = false; ///< The next batch starts a generation.
    std::unordered_map<std::string, OpenBatch> m_openBatches; ///< By id.
    Core::Instant m_refuseUntil;
    std::optional<Core::Instant> m_appendStartedAt; ///< Set while an append is under way.

    std::thread m_appendThread;
    std::thread m_readThread;
};

}
