/// @file Implementation of the explanations.

#include "LibLogs/Explanation.h"

#include "LibJson/Json.h"

#include <algorithm>

namespace Logs {

namespace {

constexpr std::size_t MaximumStoryLines = 10'000;
constexpr std::size_t MaximumReasons = 200; ///< Reasons beyond these are counted together.
constexpr std::string_view CountsEvent = "requests_ended";
constexpr std::string_view RequestEvent = "request";
constexpr std::string_view OtherReasons = "other reasons";

bool isHeaderField(const std::string &name)
{
    return name == "time_ms" || name == "process" || name == "event";
}

void add(ReadSummary &summary, const LogReader &reader)
{
    summary.m_lines.m_records += reader.counts().m_records;
    summary.m_lines.m_foreign += reader.counts().m_foreign;
    summary.m_lines.m_malformed += reader.counts().m_malformed;
    summary.m_bytes += reader.bytesRead();
}

/// Reads every file once and passes on the records that the filter lets through.
Core::Result<ReadSummary> readFiles(const std::vector<std::string> &files,
                                    const LineFilter &filter,
                                    const Progress &progress,
                                    const std::function<Core::Result<void>(const LogRecord &)> &onRecord)
{
    ReadSummary summary;
    for (const std::string &file : files) {
        LogReader reader = BOOST_OUTCOME_TRYX(LogReader::open(file));
        while (true) {
            const std::optional<LogRecord> record = BOOST_OUTCOME_TRYX(reader.next(filter));
            if (progress) {
                progress(summary.m_bytes + reader.bytesRead());
            }
            if (!record) {
                break;
            }
            BOOST_OUTCOME_TRYV(onRecord(*record));
        }
        add(summary, reader);
    }
    return summary;
}

StoryLine makeStoryLine(const LogRecord &record)
{
    StoryLine line{record.m_milliseconds, record.m_process, record.m_event, {}};
    for (const std::string &name : record.m_fields->getNames()) {
        if (!isHeaderField(name)) {
            line.m_fields.emplace_back(name, record.m_fields->get(name).toString());
        }
    }
    return line;
}

/// Counts a line of one process, and checks that no earlier line is missing.
class CountsCollector
{
public:
    explicit CountsCollector(IntervalLoss &loss)
        : m_loss(loss)
    {
    }

    void collect(const LogRecord &record, bool isInInterval)
    {
        const std::optional<std::uint64_t> sequence = Json::optionalCount(*record.m_fields, "sequence");
        const std::optional<std::uint64_t> total = Json::optionalCount(*record.m_fields, "total");
        std::map<std::string, std::uint64_t> causes;
        std::uint64_t sum = 0;
        for (const std::string &name : record.m_fields->getNames()) {
            const std::optional<std::uint64_t> count = Json::optionalCount(*record.m_fields, name);
            if (!isHeaderField(name) && name != "sequence" && name != "total" && count) {
                causes[name] += *count;
                sum += *count;
            }
        }
        if (!sequence || !total || sum != *total) {
            m_loss.m_inconsistentLines += isInInterval ? 1 : 0;
            return;
        }
        const std::map<std::string, std::uint64_t>::const_iterator last = m_lastSequences.find(record.m_process);
        // A lower number belongs to a new start of the process.
        const bool isGap = last != m_lastSequences.end() && *sequence > last->second + 1;
        m_loss.m_missingLines += isInInterval && isGap ? *sequence - last->second - 1 : 0;
        m_lastSequences[record.m_process] = *sequence;
        if (!isInInterval) {
            return;
        }
        m_loss.m_total += sum;
        for (const std::pair<const std::string, std::uint64_t> &cause : causes) {
            m_loss.m_causes[cause.first] += cause.second;
        }
    }

private:
    IntervalLoss &m_loss;
    std::map<std::string, std::uint64_t> m_lastSequences; ///< By process.
};

void collectReason(const LogRecord &record, IntervalLoss &loss)
{
    const std::string outcome = Json::optionalText(*record.m_fields, "outcome").value_or("");
    if (outcome == "answered") {
        return;
    }
    const std::string reason = outcome + ": " + Json::optionalText(*record.m_fields, "reason").value_or("");
    const bool isKnown = loss.m_reasons.contains(reason) || loss.m_reasons.size() < MaximumReasons;
    ++loss.m_reasons[isKnown ? reason : std::string(OtherReasons)];
}

}

Core::Result<RequestStory> explainRequest(const std::vector<std::string> &files, const std::string &id, const Progress &progress)
{
    RequestStory story;
    const std::string quoted = "\"" + id + "\"";
    const LineFilter filter = [&quoted](std::string_view line) { return line.find(quoted) != std::string_view::npos; };
    story.m_read = BOOST_OUTCOME_TRYX(readFiles(files, filter, progress, [&story, &id](const LogRecord &record) -> Core::Result<void> {
        if (story.m_lines.size() >= MaximumStoryLines) {
            return Core::makeError(Core::ErrorCode::Overloaded, "explain request", "", "more than " + std::to_string(MaximumStoryLines) + " lines name " + id);
        }
        story.m_lines.push_back(makeStoryLine(record));
        return Core::success();
    }));
    if (story.m_lines.empty()) {
        return Core::makeError(Core::ErrorCode::NotFound, "explain request", "", "no line names " + id + "; of successful requests only a sample is logged");
    }
    std::stable_sort(
        story.m_lines.begin(), story.m_lines.end(), [](const StoryLine &left, const StoryLine &right) { return left.m_milliseconds < right.m_milliseconds; });
    return story;
}

Core::Result<IntervalLoss> explainInterval(const std::vector<std::string> &files, const Interval &interval, const Progress &progress)
{
    IntervalLoss loss;
    CountsCollector collector(loss);
    bool hasCounts = false;
    const std::string countsField = "\"event\":\"" + std::string(CountsEvent) + "\"";
    const std::string requestField = "\"event\":\"" + std::string(RequestEvent) + "\"";
    const LineFilter filter = [&countsField, &requestField](std::string_view line) {
        return line.find(countsField) != std::string_view::npos || line.find(requestField) != std::string_view::npos;
    };
    loss.m_read = BOOST_OUTCOME_TRYX(readFiles(files, filter, progress, [&](const LogRecord &record) {
        const bool isInInterval = record.m_milliseconds >= interval.m_from && record.m_milliseconds < interval.m_to;
        if (record.m_event == CountsEvent) {
            hasCounts = true;
            collector.collect(record, isInInterval);
        } else if (isInInterval) {
            collectReason(record, loss);
        }
        return Core::success();
    }));
    if (!hasCounts) {
        const LineCounts &lines = loss.m_read.m_lines;
        return Core::makeError(Core::ErrorCode::NotFound,
                               "explain interval",
                               "",
                               "no counts of requests among " + std::to_string(lines.m_records) + " records, " + std::to_string(lines.m_foreign)
                                   + " other lines and " + std::to_string(lines.m_malformed) + " malformed ones");
    }
    return loss;
}

Core::Result<std::int64_t> firstRecordTime(const std::vector<std::string> &files)
{
    std::optional<std::int64_t> first;
    for (const std::string &file : files) {
        LogReader reader = BOOST_OUTCOME_TRYX(LogReader::open(file));
        const std::optional<LogRecord> record = BOOST_OUTCOME_TRYX(reader.next([](std::string_view) { return true; }));
        if (record) {
            first = std::min(first.value_or(record->m_milliseconds), record->m_milliseconds);
        }
    }
    if (!first) {
        return Core::makeError(Core::ErrorCode::NotFound, "read logs", "", "the files contain no records");
    }
    return *first;
}

}
