/// @file Implementation of the log stand-in's records.

#include "LibStandInLog/LogStore.h"

#include <algorithm>
#include <thread>

namespace StandIn {

namespace {

constexpr std::size_t MaximumStreams = 1024;
constexpr std::size_t MaximumPageBytes = 32 << 20;
constexpr Core::Duration MaximumWait{30000};

Core::Error downError(const std::string &step)
{
    return Core::makeError(Core::ErrorCode::Unavailable, step, "log", "the log is down");
}

}

LogStore::LogStore(LogSettings settings)
    : m_settings(settings)
    , m_tokens(settings.m_appendsPerSecond)
    , m_refilledAt(Core::Clock::now())
{
}

void LogStore::delay() const
{
    const Core::Duration slow = faults().m_slow;
    if (slow.count() > 0) {
        std::this_thread::sleep_for(slow);
    }
}

bool LogStore::tryTakeToken(Core::Instant now)
{
    m_tokens = std::min(m_settings.m_appendsPerSecond, m_tokens + m_settings.m_appendsPerSecond * Core::secondsBetween(m_refilledAt, now));
    m_refilledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void LogStore::expire(Stream &stream, Core::Instant now) const
{
    const auto isExpired = [this, &stream, now] {
        const bool isTooMany = stream.m_records.size() > m_settings.m_retentionRecords;
        const bool isTooOld =
            m_settings.m_retention.count() > 0 && !stream.m_records.empty() && now - stream.m_records.front().m_appended > m_settings.m_retention;
        return isTooMany || isTooOld;
    };
    while (isExpired()) {
        stream.m_records.pop_front();
        ++stream.m_first;
    }
}

Core::Result<Platform::Offset> LogStore::append(const std::string &stream, const std::string &body)
{
    const std::string step = "append record";
    delay();
    const Core::Instant now = Core::Clock::now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_faults.m_down) {
        return downError(step);
    }
    if (body.size() > Platform::MaximumRecordBytes) {
        return Core::makeError(Core::ErrorCode::InvalidInput, step, "log", "the record is too long");
    }
    const bool isKnown = m_streams.contains(stream);
    if ((!isKnown && m_streams.size() >= MaximumStreams) || !tryTakeToken(now)) {
        return Core::makeError(Core::ErrorCode::Overloaded, step, "log", "over the log's append rate");
    }
    Stream &appended = m_streams[stream];
    appended.m_records.push_back(StoredRecord{body, now});
    const Platform::Offset offset = appended.next() - 1;
    expire(appended, now);
    m_changed.notify_all();
    if (m_faults.m_loseAnswers) {
        return Core::makeError(Core::ErrorCode::Ambiguous, step, "log", "the answer was lost");
    }
    return offset;
}

Platform::LogPage LogStore::page(Stream &stream, Platform::Offset from, std::size_t maximum, Core::Instant now) const
{
    expire(stream, now);
    Platform::LogPage page{stream.m_first, stream.next(), {}};
    std::size_t bytes = 0;
    for (Platform::Offset offset = from; offset >= stream.m_first && offset < stream.next() && page.m_records.size() < maximum; ++offset) {
        const std::string &body = stream.m_records[offset - stream.m_first].m_body;
        bytes += body.size();
        if (bytes > MaximumPageBytes && !page.m_records.empty()) {
            break;
        }
        page.m_records.push_back(Protocol::LogRecord{offset, body});
    }
    return page;
}

Core::Result<Platform::LogPage> LogStore::read(const std::string &stream, Platform::Offset from, const Platform::ReadOptions &options)
{
    delay();
    const Core::Instant deadline = Core::Clock::now() + std::min(options.m_wait, MaximumWait);
    std::unique_lock<std::mutex> lock(m_mutex);
    while (true) {
        if (m_faults.m_down) {
            return downError("read log");
        }
        const Core::Instant now = Core::Clock::now();
        Stream empty;
        const std::map<std::string, Stream>::iterator found = m_streams.find(stream);
        Stream &source = found == m_streams.end() ? empty : found->second;
        const bool hasExpired = from < source.m_first;
        if (from < source.next() || hasExpired || now >= deadline || m_stopping) {
            return page(source, from, options.m_maximumRecords, now);
        }
        m_changed.wait_until(lock, deadline);
    }
}

LogFaults LogStore::faults() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_faults;
}

void LogStore::setFaults(const LogFaults &faults)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_faults = faults;
    m_changed.notify_all();
}

void LogStore::dropRecordsFrom(Platform::Offset offset)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (std::pair<const std::string, Stream> &entry : m_streams) {
        Stream &stream = entry.second;
        while (!stream.m_records.empty() && stream.next() > offset) {
            stream.m_records.pop_back();
        }
        stream.m_first = std::min(stream.m_first, std::max<Platform::Offset>(offset, 1));
    }
    m_changed.notify_all();
}

void LogStore::expireRecordsBefore(Platform::Offset offset)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    for (std::pair<const std::string, Stream> &entry : m_streams) {
        Stream &stream = entry.second;
        while (!stream.m_records.empty() && stream.m_first < offset) {
            stream.m_records.pop_front();
            ++stream.m_first;
        }
    }
    m_changed.notify_all();
}

void LogStore::stop()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

}
