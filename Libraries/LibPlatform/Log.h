/// @file Interface to the platform's log service: streams of records, each with an offset.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibProtocol/StateFeed.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Platform {

/// Offset of a record in a stream. Offsets start at 1; 0 means none.
using Offset = std::uint64_t;

/// Largest record that can be appended.
inline constexpr std::size_t MaximumRecordBytes = 4 << 20;

/// Result of a read.
struct LogPage
{
    Offset m_first = 1; ///< Oldest offset that the log still holds; m_next if it holds none.
    Offset m_next = 1; ///< Offset that the next append will get.
    std::vector<Protocol::LogRecord> m_records; ///< In order of offset, without gaps.

    bool operator==(const LogPage &) const = default;
};

/// Limits of a read.
struct ReadOptions
{
    std::size_t m_maximumRecords = 256;
    Core::Duration m_wait{0}; ///< How long to wait for a record if there is none at the offset yet.

    bool operator==(const ReadOptions &) const = default;
};

/// Append-only streams with limited retention. Thread-safe.
class Log
{
public:
    virtual ~Log() = default;

    /**
     * Appends a record and returns its offset.
     *
     * Fails with Ambiguous if the record may have been appended but the answer was lost: the caller must read the log and look for
     * the record's id before it appends again. Fails with Unavailable or Overloaded if nothing was appended.
     */
    virtual Core::Result<Offset> append(const std::string &stream, const std::string &body) = 0;

    /// Reads records from offset @p from on. A page with m_first above @p from has no records, because the record at @p from has expired.
    virtual Core::Result<LogPage> read(const std::string &stream, Offset from, const ReadOptions &options) = 0;
};

}
