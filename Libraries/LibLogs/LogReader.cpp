/// @file Implementation of the log reader.

#include "LibLogs/LogReader.h"

#include "LibJson/Json.h"

namespace Logs {

namespace {

constexpr std::size_t MaximumLineBytes = 1 << 20; ///< Several times the longest record.
constexpr std::string_view RecordStart = "{\"time_ms\":";

std::optional<LogRecord> parseRecord(std::string_view text)
{
    const Core::Result<Poco::JSON::Object::Ptr> object = Json::parseObject(std::string(text));
    if (!object) {
        return std::nullopt;
    }
    const std::optional<double> time = Json::optionalNumber(*object.value(), "time_ms");
    const std::optional<std::string> process = Json::optionalText(*object.value(), "process");
    const std::optional<std::string> event = Json::optionalText(*object.value(), "event");
    if (!time || !process || !event) {
        return std::nullopt;
    }
    return LogRecord{static_cast<std::int64_t>(*time), *process, *event, object.value()};
}

}

LogReader::LogReader(std::string path, std::ifstream stream)
    : m_path(std::move(path))
    , m_stream(std::move(stream))
{
}

Core::Result<LogReader> LogReader::open(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return Core::makeError(Core::ErrorCode::NotFound, "open log", path, "the file cannot be opened");
    }
    return LogReader(path, std::move(stream));
}

/// Reads a line without its end; empty if it is too long. Returns false at the end of the file.
bool LogReader::readLine(std::string &line)
{
    line.clear();
    bool isTooLong = false;
    std::streambuf &buffer = *m_stream.rdbuf();
    for (int character = buffer.sbumpc(); character != std::char_traits<char>::eof(); character = buffer.sbumpc()) {
        ++m_bytesRead;
        if (character == '\n') {
            return true;
        }
        isTooLong = isTooLong || line.size() >= MaximumLineBytes;
        if (isTooLong) {
            line.clear();
        } else {
            line.push_back(static_cast<char>(character));
        }
    }
    m_stream.setstate(std::ios::eofbit);
    return !line.empty();
}

Core::Result<std::optional<LogRecord>> LogReader::next(const LineFilter &filter)
{
    std::string line;
    while (!m_stream.eof() && readLine(line)) {
        const std::size_t start = line.find(RecordStart);
        if (start == std::string::npos) {
            ++m_counts.m_foreign;
            continue;
        }
        const std::string_view record = std::string_view(line).substr(start);
        const bool isComplete = record.ends_with('}');
        if (isComplete && !filter(record)) {
            ++m_counts.m_records;
            continue;
        }
        std::optional<LogRecord> parsed = isComplete ? parseRecord(record) : std::nullopt;
        if (parsed) {
            ++m_counts.m_records;
            return parsed;
        }
        ++m_counts.m_malformed;
    }
    if (m_stream.bad()) {
        return Core::makeError(Core::ErrorCode::Unavailable, "read log", m_path, "the file cannot be read further");
    }
    return std::optional<LogRecord>();
}

}
