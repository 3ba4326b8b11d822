/// @file Reads the structured logs of processes, line by line and in bounded memory.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <cstdint>
#include <fstream>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Logs {

/// One line of a structured log.
struct LogRecord
{
    std::int64_t m_milliseconds = 0; ///< Unix time of the process that wrote it.
    std::string m_process;
    std::string m_event;
    Poco::JSON::Object::Ptr m_fields; ///< Never null.
};

/// Lines of a file that were read, by kind.
struct LineCounts
{
    std::uint64_t m_records = 0; ///< Lines of a structured log, including those that the filter left out.
    std::uint64_t m_foreign = 0; ///< Lines of other programs or libraries, which are skipped.
    std::uint64_t m_malformed = 0; ///< Lines that begin like a record and cannot be read, for example because they are truncated.

    bool operator==(const LineCounts &) const = default;
};

/// Returns whether a line may matter. Lines that do not are not parsed.
using LineFilter = std::function<bool(std::string_view line)>;

/**
 * Reads one file once. Logs of several processes may be mixed in a file, and other text may precede the record in a line.
 *
 * Lines that are longer than any record are not kept in memory and count as malformed.
 */
class LogReader
{
public:
    /// Fails with NotFound if the file cannot be opened.
    static Core::Result<LogReader> open(const std::string &path);

    /// Returns the next record that passes the filter; empty at the end of the file. Fails with Unavailable if the file cannot be read further.
    Core::Result<std::optional<LogRecord>> next(const LineFilter &filter);

    const std::string &path() const
    {
        return m_path;
    }
    const LineCounts &counts() const
    {
        return m_counts;
    }
    std::uint64_t bytesRead() const
    {
        return m_bytesRead;
    }

private:
    LogReader(std::string path, std::ifstream stream);

    bool readLine(std::string &line);

    std::string m_path;
    std::ifstream m_stream;
    LineCounts m_counts;
    std::uint64_t m_bytesRead = 0;
};

}
