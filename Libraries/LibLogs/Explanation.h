/// @file Explains from the logs of several processes what happened to a request, and why requests of an interval were not answered in time.
#pragma once

#include "LibLogs/LogReader.h"

#include <map>
#include <vector>

namespace Logs {

/// Called now and then with the number of bytes that were read of all files.
using Progress = std::function<void(std::uint64_t bytes)>;

/// Lines that were read of all files.
struct ReadSummary
{
    LineCounts m_lines;
    std::uint64_t m_bytes = 0;

    bool operator==(const ReadSummary &) const = default;
};

/// One line of a request's story.
struct StoryLine
{
    std::int64_t m_milliseconds = 0;
    std::string m_process;
    std::string m_event;
    std::vector<std::pair<std::string, std::string>> m_fields; ///< Names and values of the other fields, in the order of the line.

    bool operator==(const StoryLine &) const = default;
};

struct RequestStory
{
    std::vector<StoryLine> m_lines; ///< By time.
    ReadSummary m_read;
};

/// Collects the lines about a request. Fails with NotFound if a file or the request is missing, and with Overloaded if too many lines name it.
Core::Result<RequestStory> explainRequest(const std::vector<std::string> &files, const std::string &id, const Progress &progress = {});

/// Requests of an interval by cause.
struct IntervalLoss
{
    std::uint64_t m_total = 0; ///< Ended requests; the sum of m_causes.
    std::map<std::string, std::uint64_t> m_causes; ///< By the cause's name in the log.
    std::map<std::string, std::uint64_t> m_reasons; ///< Outcome and reason of the requests that were logged one by one and not answered.
    std::uint64_t m_missingLines = 0; ///< Lines of counts that are missing, by their sequence numbers. Their requests are not counted.
    std::uint64_t m_inconsistentLines = 0; ///< Lines of counts whose total is not the sum of their causes. They are not counted.
    ReadSummary m_read;
};

/// A time span in Unix milliseconds, without its end.
struct Interval
{
    std::int64_t m_from = 0;
    std::int64_t m_to = 0;

    bool operator==(const Interval &) const = default;
};

/**
 * Adds up the counts of ended requests in an interval. Fails with NotFound if a file is missing or the files contain no counts at all.
 *
 * Processes log their counts about once a second, so the interval's ends are that exact.
 */
Core::Result<IntervalLoss> explainInterval(const std::vector<std::string> &files, const Interval &interval, const Progress &progress = {});

/// Returns the time of the earliest record of the files. Fails with NotFound if there is none.
Core::Result<std::int64_t> firstRecordTime(const std::vector<std::string> &files);

}
