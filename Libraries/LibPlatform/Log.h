/// @file The platform's log service as the system uses it: streams of records, each with an offset.
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

/// Largest record that is appended.
inline constexpr std::size_t MaximumRecordBytes = 4 << 20;

/// What a read returned.
struct LogPage
{
    Offset m_first = 1; ///< Oldest offset that the log still holds; m_next if it holds none.
    Offset m_next = 1; ///< Offset that the next append will get.
    std::vector<Protocol::LogRecord> m_records; ///< In order of offset, without gaps.

    bool operator==(const LogPage &) const = default;
};

/// Where a read starts and how long it may take.
struct ReadOptions
{
    std::size_t m_maximumRecords = 256;
    Core::Duration m_wait{0}; ///< How long to wait for a record if there is none yet.

    bool operator==(const ReadOptions &) const = default;
};

/// Append-only streams that are kept for a limited time. Thread-safe.
class Log
{
public:
    virtual ~Log() = default;

    /**
     * Appends a record and returns its offset.
     *
     * Ambiguous means that the record may have been appended and its answer was lost: the caller must read back by the
     * record's own id and must not just append again. Unavailable and Overloaded mean that nothing was appended.
     */
    virtual Core::Result<Offset> append(const std::string &stream, const std::string &body) = 0;

    /// Reads from @p from on. A page whose m_first lies above @p from holds no records: the older ones are gone.
    virtual Core::Result<LogPage> read(const std::string &stream, Offset from, const ReadOptions &options) = 0;
};

}
