/// @file Structured log: writes one JSON object per line to standard output, with a bounded buffer and without blocking.
#pragma once

#include "LibTelemetry/Metrics.h"

#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace Telemetry {

/// One line under construction.
class LogLine
{
public:
    /// @p event names what happened, for example "request" or "configuration".
    explicit LogLine(std::string_view event);

    LogLine &text(std::string_view name, std::string_view value);
    LogLine &number(std::string_view name, std::int64_t value);
    LogLine &number(std::string_view name, double value);
    LogLine &flag(std::string_view name, bool value);

    /// The fields so far, without the braces.
    const std::string &fields() const
    {
        return m_fields;
    }

private:
    void appendName(std::string_view name);

    std::string m_fields;
};

/// Limits on the buffer and the line rate of a log.
struct EventLogLimits
{
    std::size_t m_bufferBytes = 256 << 10; ///< Size of the buffer for a slow reader; lines that do not fit are dropped and counted.
    double m_linesPerSecond = 200; ///< Sustained line rate; about 50 KB/s at 250 bytes a line.
    double m_burst = 400; ///< Lines that may be written at once.
};

/**
 * Buffers lines and writes them without waiting for the reader.
 *
 * With blocking writes, a reader that has stopped reading would block the process at its next line, and with it every request. Lines are dropped instead
 * and counted by log_lines_dropped_total. Thread-safe.
 */
class EventLog
{
public:
    EventLog(int descriptor, std::string process, Metrics &metrics, EventLogLimits limits = {});

    /// Adds the time and the name of the process to a line and buffers it, or drops it if a limit is reached. Returns whether it was buffered.
    bool write(const LogLine &line);
    /// Writes as much of the buffer as possible without blocking. Must be called a few times a second and before the process ends.
    void flush();

private:
    bool takeToken();

    const int m_descriptor;
    const std::string m_process;
    const EventLogLimits m_limits;
    Counter &m_dropped;
    std::mutex m_mutex;
    std::string m_buffer; ///< Complete lines, except that the beginning of the first may already have been written. Never larger than the limit.
    double m_tokens; ///< Remaining tokens of the rate limit; each line takes one.
    std::int64_t m_refilledAt = 0; ///< Steady clock in milliseconds.
};

}
