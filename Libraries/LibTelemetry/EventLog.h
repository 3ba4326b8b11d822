/// @file Structured log: one JSON object a line on standard output, bounded and never blocking.
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

/// How much a log may hold and say.
struct EventLogLimits
{
    std::size_t m_bufferBytes = 256 << 10; ///< Lines that wait for a slow reader; further ones are dropped and counted.
    double m_linesPerSecond = 200; ///< Sustained rate of lines; about 50 KB/s at 250 bytes a line.
    double m_burst = 400; ///< Lines that may come at once.
};

/**
 * Collects lines and writes them without ever waiting for the reader.
 *
 * A reader that stands still would otherwise stop the process at its next line, and with it every request; here lines are dropped instead, and
 * the counter log_lines_dropped_total tells how many. Thread-safe.
 */
class EventLog
{
public:
    EventLog(int descriptor, std::string process, Metrics &metrics, EventLogLimits limits = {});

    /// Adds a line with the time and the process's name.
    void write(const LogLine &line);
    /// Writes as much as the reader takes at once. To be called a few times a second, and before the process ends.
    void flush();

private:
    bool takeToken();

    const int m_descriptor;
    const std::string m_process;
    const EventLogLimits m_limits;
    Counter &m_dropped;
    std::mutex m_mutex;
    std::string m_buffer; ///< Whole lines, but for the first, of which the beginning may have been written. Never over the limit.
    double m_tokens; ///< Lines that may still come at once.
    std::int64_t m_refilledAt = 0; ///< Steady clock in milliseconds.
};

}
