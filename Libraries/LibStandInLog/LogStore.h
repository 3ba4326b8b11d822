/// @file Records of the log stand-in: in-memory streams with a rate limit, a retention and faults.
#pragma once

#include "LibCore/Clock.h"
#include "LibPlatform/Log.h"

#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace StandIn {

/// Settings of the log.
struct LogSettings
{
    double m_appendsPerSecond = 500; ///< Rate limit over all streams.
    std::size_t m_retentionRecords = 10000; ///< Maximum number of records kept in each stream.
    Core::Duration m_retention{0}; ///< Age at which records expire; 0 means never.

    bool operator==(const LogSettings &) const = default;
};

/// Fault switches of the log.
struct LogFaults
{
    bool m_down = false; ///< Appends and reads fail with Unavailable.
    Core::Duration m_slow{0}; ///< Added to each request.
    bool m_loseAnswers = false; ///< Appends take effect, but are not answered.

    bool operator==(const LogFaults &) const = default;
};

/**
 * The in-memory log. Thread-safe. It implements Platform::Log, so that tests in one process need no HTTP; a lost answer is then the
 * error Ambiguous.
 */
class LogStore : public Platform::Log
{
public:
    explicit LogStore(LogSettings settings = {});

    Core::Result<Platform::Offset> append(const std::string &stream, const std::string &body) override;
    Core::Result<Platform::LogPage> read(const std::string &stream, Platform::Offset from, const Platform::ReadOptions &options) override;

    LogFaults faults() const;
    void setFaults(const LogFaults &faults);
    /// Removes all records at or after this offset from each stream. Simulates a log that has lost its latest records in an outage.
    void dropRecordsFrom(Platform::Offset offset);
    /// Removes all records before this offset from each stream, as retention does.
    void expireRecordsBefore(Platform::Offset offset);
    /// Ends all waiting reads; later reads do not wait.
    void stop();

private:
    /// A record and the time of its append.
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

    /// Removes the records that exceed the retention.
    void expire(Stream &stream, Core::Instant now) const;
    /// Returns false if the append rate is exceeded.
    bool tryTakeToken(Core::Instant now);
    /// Returns the records from an offset on, at most @p maximum of them.
    Platform::LogPage page(Stream &stream, Platform::Offset from, std::size_t maximum, Core::Instant now) const;
    /// Waits for the time set by the fault "slow_ms".
    void delay() const;

    const LogSettings m_settings;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Stream> m_streams; ///< At most MaximumStreams.
    LogFaults m_faults;
    double m_tokens; ///< Number of appends that the rate limit allows now; at most the number that it allows per second.
    Core::Instant m_refilledAt; ///< Time of the last refill of m_tokens.
    bool m_stopping = false;
};

}
