/// @file The records of the log stand-in: streams in memory with a rate, a retention and faults.
#pragma once

#include "LibCore/Clock.h"
#include "LibPlatform/Log.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace StandIn {

struct LogSettings
{
    double m_appendsPerSecond = 500;
    std::size_t m_retentionRecords = 10000; ///< Of each stream.
    Core::Duration m_retention{0}; ///< Age at which records expire; 0 means never.

    bool operator==(const LogSettings &) const = default;
};

/// Fault switches of the log.
struct LogFaults
{
    bool m_down = false;
    Core::Duration m_slow{0}; ///< Added to each request.
    bool m_loseAnswers = false; ///< Appends take effect and are not answered.

    bool operator==(const LogFaults &) const = default;
};

/**
 * Thread-safe. It is a Platform::Log too, so that tests in one process need no HTTP; a lost answer is Ambiguous then.
 */
class LogStore : public Platform::Log
{
public:
    explicit LogStore(LogSettings settings = {});

    Core::Result<Platform::Offset> append(const std::string &stream, const std::string &body) override;
    Core::Result<Platform::LogPage> read(const std::string &stream, Platform::Offset from, const Platform::ReadOptions &options) override;

    LogFaults faults() const;
    void setFaults(const LogFaults &faults);
    /// Forgets every record at or after this offset, in each stream, as a log that returns with records missing.
    void dropRecordsFrom(Platform::Offset offset);
    /// Forgets every record before this offset, as retention does.
    void expireRecordsBefore(Platform::Offset offset);
    /// Ends every wait, and all later ones at once.
    void stop();

private:
    struct StoredRecord
    {
        std::string m_body;
        Core::Instant m_appended;
    };

    struct Stream
    {
        Platform::Offset m_first = 1; ///< Offset of m_records.front(), or of the next append if that is empty.
        std::deque<StoredRecord> m_records;

        Platform::Offset next() const
        {
            return m_first + m_records.size();
        }
    };

    void expire(Stream &stream, Core::Instant now) const;
    bool tryTakeToken(Core::Instant now);
    Platform::LogPage page(Stream &stream, Platform::Offset from, std::size_t maximum, Core::Instant now) const;
    void delay() const;

    const LogSettings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams; ///< At most MaximumStreams.
    LogFaults m_faults;
    double m_tokens; ///< Appends that may be taken now; at most a second's worth.
    Core::Instant m_refilledAt;
    bool m_stopping = false;
};

}
