/// @file Implementation of the structured log.

#include "LibTelemetry/EventLog.h"

#include <Poco/JSON/Stringifier.h>
#include <algorithm>
#include <chrono>
#include <cmath>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace Telemetry {

namespace {

/// A pipe that poll() reports as writable accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t WriteSize = 4096;

std::string jsonString(std::string_view text)
{
    std::ostringstream output;
    Poco::JSON::Stringifier::formatString(std::string(text), output);
    return output.str();
}

template <typename Clock>
std::int64_t currentMilliseconds()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

}

LogLine::LogLine(std::string_view event)
{
    text("event", event);
}

void LogLine::appendName(std::string_view name)
{
    m_fields += m_fields.empty() ? "\"" : ",\"";
    m_fields += name;
    m_fields += "\":";
}

LogLine &LogLine::text(std::string_view fieldName, std::string_view value)
{
    appendName(fieldName);
    m_fields += jsonString(value);
    return *this;
}

LogLine &LogLine::number(std::string_view fieldName, std::int64_t value)
{
    appendName(fieldName);
    m_fields += std::to_string(value);
    return *this;
}

LogLine &LogLine::number(std::string_view fieldName, double value)
{
    appendName(fieldName);
    m_fields += std::isfinite(value) ? std::to_string(value) : std::string("null");
    return *this;
}

LogLine &LogLine::flag(std::string_view fieldName, bool value)
{
    appendName(fieldName);
    m_fields += value ? "true" : "false";
    return *this;
}

EventLog::EventLog(int descriptor, std::string process, Metrics &metrics, EventLogLimits limits)
    : m_descriptor(descriptor)
    , m_process(jsonString(process))
    , m_limits(limits)
    , m_dropped(metrics.counter("log_lines_dropped_total"))
    , m_tokens(limits.m_burst)
    , m_refilledAt(currentMilliseconds<std::chrono::steady_clock>())
{
}

bool EventLog::takeToken()
{
    const std::int64_t now = currentMilliseconds<std::chrono::steady_clock>();
    constexpr double millisecondsPerSecond = 1000;
    const double elapsed = static_cast<double>(now - m_refilledAt) / millisecondsPerSecond;
    m_tokens = std::min(m_limits.m_burst, m_tokens + elapsed * m_limits.m_linesPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

bool EventLog::write(const LogLine &line)
{
    const std::string time = std::to_string(currentMilliseconds<std::chrono::system_clock>());
    const std::string text = "{\"time_ms\":" + time + ",\"process\":" + m_process + "," + line.fields() + "}\n";
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (!takeToken() || m_buffer.size() + text.size() > m_limits.m_bufferBytes) {
        m_dropped.add();
        return false;
    }
    m_buffer += text;
    return true;
}

void EventLog::flush()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    while (!m_buffer.empty()) {
        pollfd ready{m_descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0 || (ready.revents & POLLOUT) == 0) {
            return;
        }
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), WriteSize));
        if (written <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

}
