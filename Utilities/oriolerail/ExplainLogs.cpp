/// @file The commands "explain request" and "explain interval", which read logs of processes.

#include "Command.h"
#include "LibLogs/Explanation.h"

#include <Poco/JSON/Array.h>
#include <charconv>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace Cli {

namespace {

constexpr std::uint64_t ProgressBytes = 64 << 20; ///< Progress is shown each time so many bytes have been read.
constexpr double BytesPerMebibyte = 1 << 20;
constexpr double Percent = 100;

Logs::Progress makeProgress()
{
    return [shown = std::uint64_t{0}](std::uint64_t bytes) mutable {
        if (bytes - shown >= ProgressBytes) {
            shown = bytes;
            std::cerr << "read " << std::fixed << std::setprecision(0) << static_cast<double>(bytes) / BytesPerMebibyte << " MiB\n";
        }
    };
}

Poco::JSON::Object::Ptr readSummaryJson(const Logs::ReadSummary &read)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("records", static_cast<Poco::UInt64>(read.m_lines.m_records));
    object->set("other_lines", static_cast<Poco::UInt64>(read.m_lines.m_foreign));
    object->set("malformed_lines", static_cast<Poco::UInt64>(read.m_lines.m_malformed));
    object->set("bytes", static_cast<Poco::UInt64>(read.m_bytes));
    return object;
}

std::string readSummaryText(const Logs::ReadSummary &read)
{
    std::ostringstream text;
    text << read.m_lines.m_records << " records read";
    if (read.m_lines.m_foreign > 0) {
        text << ", " << read.m_lines.m_foreign << " other lines skipped";
    }
    if (read.m_lines.m_malformed > 0) {
        text << ", " << read.m_lines.m_malformed << " malformed lines skipped";
    }
    text << "\n";
    return text.str();
}

int showStory(const Arguments &arguments, const Logs::RequestStory &story)
{
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    std::ostringstream text;
    const std::int64_t first = story.m_lines.front().m_milliseconds;
    for (const Logs::StoryLine &line : story.m_lines) {
        Poco::JSON::Object::Ptr row = new Poco::JSON::Object;
        row->set("time_ms", line.m_milliseconds);
        row->set("process", line.m_process);
        row->set("event", line.m_event);
        text << "+" << line.m_milliseconds - first << " ms  " << line.m_process << "  " << line.m_event;
        for (const std::pair<std::string, std::string> &field : line.m_fields) {
            row->set(field.first, field.second);
            text << "  " << field.first << "=" << field.second;
        }
        text << "\n";
        rows->add(row);
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("lines", rows);
    object->set("read", readSummaryJson(story.m_read));
    print(arguments, object, text.str() + readSummaryText(story.m_read));
    return ExitOk;
}

Poco::JSON::Object::Ptr countsJson(const std::map<std::string, std::uint64_t> &counts)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    for (const std::pair<const std::string, std::uint64_t> &count : counts) {
        object->set(count.first, static_cast<Poco::UInt64>(count.second));
    }
    return object;
}

int showLoss(const Arguments &arguments, const Logs::IntervalLoss &loss)
{
    std::ostringstream text;
    text << loss.m_total << " requests ended\n" << std::fixed << std::setprecision(1);
    for (const std::pair<const std::string, std::uint64_t> &cause : loss.m_causes) {
        text << std::setw(10) << cause.second << std::setw(7) << Percent * static_cast<double>(cause.second) / static_cast<double>(loss.m_total) << "%  "
             << cause.first << "\n";
    }
    text << "of those logged one by one:\n";
    for (const std::pair<const std::string, std::uint64_t> &reason : loss.m_reasons) {
        text << std::setw(10) << reason.second << "  " << reason.first << "\n";
    }
    if (loss.m_missingLines + loss.m_inconsistentLines > 0) {
        text << "not counted: " << loss.m_missingLines << " missing lines of counts, " << loss.m_inconsistentLines << " inconsistent ones\n";
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("total", static_cast<Poco::UInt64>(loss.m_total));
    object->set("causes", countsJson(loss.m_causes));
    object->set("reasons", countsJson(loss.m_reasons));
    object->set("missing_lines", static_cast<Poco::UInt64>(loss.m_missingLines));
    object->set("inconsistent_lines", static_cast<Poco::UInt64>(loss.m_inconsistentLines));
    object->set("read", readSummaryJson(loss.m_read));
    print(arguments, object, text.str() + readSummaryText(loss.m_read));
    return ExitOk;
}

/// Parses Unix milliseconds, or "+SECONDS" after the first record of the logs.
Core::Result<std::int64_t> parseTime(const std::string &text, const std::vector<std::string> &files)
{
    constexpr double millisecondsPerSecond = 1000;
    constexpr double largestSeconds = 1e9;
    const bool isRelative = text.starts_with('+');
    const char *end = text.data() + text.size();
    double number = 0;
    const std::from_chars_result parsed = std::from_chars(text.data() + (isRelative ? 1 : 0), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end || number < 0 || (isRelative && number > largestSeconds)) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read arguments", "", "\"" + text + "\" is no time; expected Unix milliseconds or +SECONDS");
    }
    if (!isRelative) {
        return static_cast<std::int64_t>(number);
    }
    const std::int64_t first = BOOST_OUTCOME_TRYX(Logs::firstRecordTime(files));
    return first + static_cast<std::int64_t>(number * millisecondsPerSecond);
}

int explainInterval(const Arguments &arguments, const std::vector<std::string> &files)
{
    const Core::Result<std::int64_t> from = parseTime(arguments.m_operands[1], files);
    const Core::Result<std::int64_t> to = parseTime(arguments.m_operands[2], files);
    if (!from || !to) {
        return reportError(arguments, from ? to.error() : from.error());
    }
    if (from.value() >= to.value()) {
        return reportUsage("explain interval needs a FROM before its TO");
    }
    const Core::Result<Logs::IntervalLoss> loss = Logs::explainInterval(files, Logs::Interval{from.value(), to.value()}, makeProgress());
    return loss ? showLoss(arguments, loss.value()) : reportError(arguments, loss.error());
}

}

int runExplainLogs(const Arguments &arguments)
{
    const bool isRequest = arguments.m_operands.front() == "request";
    const std::ptrdiff_t firstFile = isRequest ? 2 : 3;
    if (arguments.m_operands.size() <= static_cast<std::size_t>(firstFile)) {
        return reportUsage(isRequest ? "explain request needs an id and log files" : "explain interval needs FROM, TO and log files");
    }
    const std::vector<std::string> files(arguments.m_operands.begin() + firstFile, arguments.m_operands.end());
    if (!isRequest) {
        return explainInterval(arguments, files);
    }
    const Core::Result<Logs::RequestStory> story = Logs::explainRequest(files, arguments.m_operands[1], makeProgress());
    return story ? showStory(arguments, story.value()) : reportError(arguments, story.error());
}

}
