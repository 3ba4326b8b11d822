/// @file Appending and reading back of claims.

#include "LibClaims/ClaimWriter.h"
#include "LibCore/Random.h"
#include "LibWire/Pack.h"

#include <glog/logging.h>

namespace Claims {

namespace {

/// Longest wait for a request before the append thread checks whether to stop.
constexpr Core::Duration PopTimeout{100};
/// Longest time for which a read waits for new records at the log.
constexpr Core::Duration ReadWaitLimit{300};
constexpr std::size_t RecordsPerRead = 1024;
/// Requests in one batch; bounds the size of a record.
constexpr std::size_t RequestsPerBatch = 1024;

}

ClaimWriter::ClaimWriter(Platform::Log &log, std::string name, WriterSettings settings, Telemetry::Metrics &metrics)
    : m_log(log)
    , m_name(std::move(name))
    , m_settings(settings)
    , m_batches(metrics.counter("claims_batches_total"))
    , m_claims(metrics.counter("claims_written_total"))
    , m_refused(metrics.counter("claims_refused_total"))
    , m_appendAnswersLost(metrics.counter("claims_append_answers_lost_total"))
    , m_restarts(metrics.counter("claims_stream_restarts_total"))
    , m_waiting(settings.m_maximumWaiting)
    , m_table(settings.m_window)
{
}

ClaimWriter::~ClaimWriter()
{
    stop();
}

void ClaimWriter::start()
{
    m_running = true;
    m_appendThread = std::thread([this] { appendLoop(); });
    m_readThread = std::thread([this] { readLoop(); });
}

void ClaimWriter::stop()
{
    if (!m_running.exchange(false)) {
        return;
    }
    m_waiting.close();
    m_appendThread.join();
    m_readThread.join();
    while (std::optional<PendingRequest> pending = m_waiting.pop(Core::Duration(0))) {
        pending->m_callback(unavailableError("the claim writer stops"));
    }
    std::vector<std::string> ids;
    for (const std::pair<const std::string, OpenBatch> &entry : m_openBatches) {
        ids.push_back(entry.first);
    }
    for (const std::string &id : ids) {
        failOpenBatch(id, unavailableError("the claim writer stops"));
    }
}

Core::Error ClaimWriter::unavailableError(const std::string &detail) const
{
    return Core::makeError(Core::ErrorCode::Unavailable, "claim key", m_name, detail);
}

bool ClaimWriter::isRefusing(Core::Instant now) const
{
    const bool slow = m_appendStartedAt && now - *m_appendStartedAt > m_settings.m_slowAppendLimit;
    return !m_caughtUp || now < m_refuseUntil || slow;
}

void ClaimWriter::submit(ClaimRequest request, ClaimCallback callback)
{
    bool refusing = false;
    std::optional<Epoch> epoch;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        refusing = isRefusing(Core::Clock::now());
        if (request.m_claims.empty() && request.m_tombstones.empty() && m_hasCaughtUp) {
            epoch = m_table.epoch();
        }
    }
    if (epoch) {
        callback(ClaimAnswer{{}, *epoch});
        return;
    }
    if (refusing) {
        m_refused.add();
        callback(unavailableError("the log is out of reach or slow"));
        return;
    }
    // The ring gets a copy of the callback, so that the callback can still be called here if the ring is full.
    if (!m_waiting.tryPush(PendingRequest{std::move(request), callback})) {
        m_refused.add();
        callback(Core::makeError(Core::ErrorCode::Overloaded, "claim key", m_name, "too many claims are waiting"));
    }
}

Core::Result<Epoch> ClaimWriter::epoch() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!m_hasCaughtUp) {
        return unavailableError("the claims have never been read to their end");
    }
    return m_table.epoch();
}

std::size_t ClaimWriter::keyCount() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_table.size();
}

void ClaimWriter::appendLoop()
{
    while (m_running) {
        std::optional<PendingRequest> first = m_waiting.pop(PopTimeout);
        if (first) {
            appendBatch(collectBatch(std::move(*first)));
        }
    }
}

std::vector<ClaimWriter::PendingRequest> ClaimWriter::collectBatch(PendingRequest first)
{
    std::vector<PendingRequest> requests;
    requests.push_back(std::move(first));
    const Core::Instant until = Core::Clock::now() + m_settings.m_batchInterval;
    while (requests.size() < RequestsPerBatch) {
        const Core::Duration left = std::chrono::duration_cast<Core::Duration>(until - Core::Clock::now());
        if (left <= Core::Duration(0)) {
            break;
        }
        std::optional<PendingRequest> next = m_waiting.pop(left);
        if (!next) {
            break;
        }
        requests.push_back(std::move(*next));
    }
    return requests;
}

void ClaimWriter::appendBatch(std::vector<PendingRequest> requests)
{
    ClaimBatch batch;
    batch.m_id = Core::randomIdentifier();
    batch.m_writer = m_name;
    for (const PendingRequest &pending : requests) {
        batch.m_tombstones.insert(batch.m_tombstones.end(), pending.m_request.m_tombstones.begin(), pending.m_request.m_tombstones.end());
        batch.m_claims.insert(batch.m_claims.end(), pending.m_request.m_claims.begin(), pending.m_request.m_claims.end());
    }
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        batch.m_generation = m_table.generation() + (m_startNewGeneration ? 1 : 0);
        m_openBatches.emplace(batch.m_id, OpenBatch{std::move(requests), Core::Clock::now()});
        m_appendStartedAt = Core::Clock::now();
    }
    const Core::Result<Platform::Offset> offset = m_log.append(ClaimsStream, Wire::pack(batch));
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_appendStartedAt.reset();
        if (!offset) {
            m_refuseUntil = Core::Clock::now() + m_settings.m_retryPause;
        }
    }
    m_batches.add();
    m_claims.add(batch.m_claims.size());
    if (offset) {
        return;
    }
    if (offset.error().m_code == Core::ErrorCode::Ambiguous) {
        // The record may be in the log. The reader either finds it there or fails the batch after the read-back timeout.
        m_appendAnswersLost.add();
        return;
    }
    failOpenBatch(batch.m_id, offset.error());
}

void ClaimWriter::failOpenBatch(const std::string &id, const Core::Error &error)
{
    OpenBatch batch;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const std::unordered_map<std::string, OpenBatch>::iterator it = m_openBatches.find(id);
        if (it == m_openBatches.end()) {
            return;
        }
        batch = std::move(it->second);
        m_openBatches.erase(it);
    }
    for (const PendingRequest &pending : batch.m_requests) {
        m_refused.add();
        pending.m_callback(error);
    }
}

void ClaimWriter::failTimedOutBatches(Core::Instant now)
{
    std::vector<std::string> timedOut;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        for (const std::pair<const std::string, OpenBatch> &entry : m_openBatches) {
            if (now - entry.second.m_openedAt > m_settings.m_readBackTimeout) {
                timedOut.push_back(entry.first);
            }
        }
    }
    for (const std::string &id : timedOut) {
        failOpenBatch(id, unavailableError("the batch was not found in the log in time"));
    }
}

void ClaimWriter::setReading(bool reading)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_reading == reading) {
        return;
    }
    m_reading = reading;
    m_readingStarted = false;
    m_caughtUp = false;
    m_hasCaughtUp = false;
}

void ClaimWriter::readLoop()
{
    Core::Instant nextCheck = Core::Clock::now() + m_settings.m_checkInterval;
    while (m_running) {
        failTimedOutBatches(Core::Clock::now());
        if (!startReading()) {
            std::this_thread::sleep_for(m_settings.m_retryPause);
            continue;
        }
        readPage();
        if (Core::Clock::now() >= nextCheck) {
            checkLastRecord();
            nextCheck = Core::Clock::now() + m_settings.m_checkInterval;
        }
    }
}

bool ClaimWriter::startReading()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_reading || m_readingStarted) {
            return m_readingStarted;
        }
    }
    const Core::Result<Platform::LogPage> page = m_log.read(ClaimsStream, 1, Platform::ReadOptions{1, Core::Duration(0)});
    if (!page) {
        return false;
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_table = ClaimTable(m_settings.m_window);
    m_table.startAt(page.value().m_first);
    m_lastRecordBody.clear();
    m_startNewGeneration = false;
    m_readingStarted = m_reading;
    return m_readingStarted;
}

void ClaimWriter::readPage()
{
    Offset from = 0;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        from = m_table.position() + 1;
    }
    const Core::Result<Platform::LogPage> page = m_log.read(ClaimsStream, from, Platform::ReadOptions{RecordsPerRead, ReadWaitLimit});
    if (!page) {
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_caughtUp = false;
        }
        std::this_thread::sleep_for(m_settings.m_retryPause);
        checkLastRecord();
        return;
    }
    if (page.value().m_next < from) {
        restartStream(page.value().m_first);
        return;
    }
    if (page.value().m_first > from) {
        // The log has expired records that were never read. Keys issued before the gap must be refused.
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_table.startAt(page.value().m_first);
        m_lastRecordBody.clear();
        return;
    }
    applyPage(page.value());
}

void ClaimWriter::applyPage(const Platform::LogPage &page)
{
    for (const Protocol::LogRecord &record : page.m_records) {
        OpenBatch batch;
        AppliedBatch applied;
        Epoch epoch;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (record.m_offset != m_table.position() + 1) {
                return;
            }
            const std::uint64_t generation = m_table.generation();
            applied = m_table.apply(record.m_offset, record.m_body);
            m_startNewGeneration = m_startNewGeneration && m_table.generation() == generation;
            m_lastRecordBody = record.m_body;
            epoch = m_table.epoch();
            const std::unordered_map<std::string, OpenBatch>::iterator it = m_openBatches.find(applied.m_id);
            if (it == m_openBatches.end()) {
                continue;
            }
            batch = std::move(it->second);
            m_openBatches.erase(it);
        }
        completeBatch(std::move(batch), applied, epoch);
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_caughtUp = m_readingStarted && m_table.position() + 1 >= page.m_next;
    m_hasCaughtUp = m_hasCaughtUp || m_caughtUp;
}

void ClaimWriter::completeBatch(OpenBatch batch, const AppliedBatch &applied, const Epoch &epoch)
{
    std::size_t next = 0;
    for (const PendingRequest &pending : batch.m_requests) {
        ClaimAnswer answer;
        answer.m_epoch = epoch;
        const std::size_t end = std::min(next + pending.m_request.m_claims.size(), applied.m_results.size());
        answer.m_results.assign(applied.m_results.begin() + static_cast<std::ptrdiff_t>(next), applied.m_results.begin() + static_cast<std::ptrdiff_t>(end));
        next = end;
        pending.m_callback(answer);
    }
}

void ClaimWriter::checkLastRecord()
{
    Offset position = 0;
    std::string body;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        position = m_table.position();
        body = m_lastRecordBody;
    }
    if (position == 0 || body.empty()) {
        return;
    }
    const Core::Result<Platform::LogPage> page = m_log.read(ClaimsStream, position, Platform::ReadOptions{1, Core::Duration(0)});
    if (!page || page.value().m_first > position) {
        return;
    }
    const bool stillThere = !page.value().m_records.empty() && page.value().m_records.front().m_body == body;
    if (!stillThere) {
        restartStream(page.value().m_first);
    }
}

void ClaimWriter::restartStream(Offset first)
{
    LOG(WARNING) << "the claims stream has lost records; older keys are refused from now on";
    m_restarts.add();
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_table.restartAt(first);
    m_lastRecordBody.clear();
    m_startNewGeneration = true;
    m_caughtUp = false;
    m_hasCaughtUp = false;
}

}
