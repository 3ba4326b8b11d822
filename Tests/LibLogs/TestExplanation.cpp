/// @file Tests of the explanations from logs: order, completeness, and damaged files.

#include "LibLogs/Explanation.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <unistd.h>

namespace {

/// Log files in a directory of their own, which is removed at the end.
struct LogFiles
{
    std::filesystem::path m_directory = std::filesystem::temp_directory_path() / ("oriolerail-logs-" + std::to_string(::getpid()));
    std::vector<std::string> m_paths;

    LogFiles()
    {
        std::filesystem::create_directories(m_directory);
    }

    ~LogFiles()
    {
        std::error_code ignored; // A directory that is left behind in the temporary directory does no harm.
        std::filesystem::remove_all(m_directory, ignored);
    }

    void add(const std::string &content)
    {
        m_paths.push_back((m_directory / std::to_string(m_paths.size())).string());
        std::ofstream(m_paths.back(), std::ios::binary) << content;
    }
};

std::string record(std::int64_t time, const std::string &process, const std::string &event, const std::string &fields)
{
    return "{\"time_ms\":" + std::to_string(time) + ",\"process\":\"" + process + "\",\"event\":\"" + event + "\"," + fields + "}\n";
}

}

TEST_CASE("The story of a request is in order of time across the logs of several processes")
{
    LogFiles logs;
    logs.add(record(1000, "entry-1", "request", R"("id":"a1","outcome":"refused","report_age_ms":40)") + record(1001, "entry-1", "request", R"("id":"b2")"));
    logs.add("some library's text\n" + record(900, "entry-2", "attempt_failed", R"("id":"a1","peer":"10.0.0.1:80")"));
    const Core::Result<Logs::RequestStory> story = Logs::explainRequest(logs.m_paths, "a1");
    REQUIRE(story);
    REQUIRE(story.value().m_lines.size() == 2);
    CHECK(story.value().m_lines[0].m_process == "entry-2");
    CHECK(story.value().m_lines[1].m_milliseconds == 1000);
    CHECK(story.value().m_lines[1].m_fields.size() == 3);
    CHECK(story.value().m_read.m_lines == Logs::LineCounts{3, 1, 0});
}

TEST_CASE("A request that no line names is reported as such")
{
    LogFiles logs;
    logs.add(record(1000, "entry-1", "request", R"("id":"a1")"));
    const Core::Result<Logs::RequestStory> story = Logs::explainRequest(logs.m_paths, "a");
    REQUIRE_FALSE(story);
    CHECK(story.error().m_code == Core::ErrorCode::NotFound);
}

TEST_CASE("The loss of an interval adds up to the requests of the interval")
{
    LogFiles logs;
    logs.add(record(1000, "entry-1", "requests_ended", R"("sequence":0,"total":5,"in_time":4,"refused_first":1)")
             + record(2000, "entry-1", "requests_ended", R"("sequence":1,"total":3,"in_time":3)")
             + record(3000, "entry-1", "requests_ended", R"("sequence":2,"total":9,"in_time":9)"));
    logs.add(record(1500, "entry-2", "requests_ended", R"("sequence":0,"total":2,"failed":2)")
             + record(1400, "entry-2", "request", R"("id":"x","outcome":"failed","reason":"no route")"));
    const Core::Result<Logs::IntervalLoss> loss = Logs::explainInterval(logs.m_paths, Logs::Interval{1000, 3000});
    REQUIRE(loss);
    CHECK(loss.value().m_total == 10);
    CHECK(loss.value().m_causes == std::map<std::string, std::uint64_t>{{"failed", 2}, {"in_time", 7}, {"refused_first", 1}});
    CHECK(loss.value().m_reasons == std::map<std::string, std::uint64_t>{{"failed: no route", 1}});
    CHECK(loss.value().m_missingLines == 0);
}

TEST_CASE("Missing and inconsistent lines of counts are reported")
{
    // The log drops lines when its reader is too slow. Without the sequence numbers the loss would look smaller than it was.
    LogFiles logs;
    logs.add(record(1000, "entry-1", "requests_ended", R"("sequence":3,"total":1,"in_time":1)")
             + record(2000, "entry-1", "requests_ended", R"("sequence":6,"total":1,"in_time":1)")
             + record(2500, "entry-1", "requests_ended", R"("sequence":0,"total":1,"in_time":1)") // A new start of the process.
             + record(2600, "entry-1", "requests_ended", R"("sequence":1,"total":7,"in_time":1)"));
    const Core::Result<Logs::IntervalLoss> loss = Logs::explainInterval(logs.m_paths, Logs::Interval{0, 5000});
    REQUIRE(loss);
    CHECK(loss.value().m_total == 3);
    CHECK(loss.value().m_missingLines == 2);
    CHECK(loss.value().m_inconsistentLines == 1);
}

TEST_CASE("Files that are missing, empty, foreign or truncated are reported")
{
    LogFiles logs;
    const Logs::Interval interval{0, 5000};
    CHECK(Logs::explainInterval({"/does/not/exist"}, interval).error().m_code == Core::ErrorCode::NotFound);
    logs.add("");
    logs.add("I20260101 a line of a library\n");
    const Core::Result<Logs::IntervalLoss> foreign = Logs::explainInterval(logs.m_paths, interval);
    REQUIRE_FALSE(foreign);
    CHECK(foreign.error().m_detail.find("1 other lines") != std::string::npos);
    CHECK(Logs::firstRecordTime(logs.m_paths).error().m_code == Core::ErrorCode::NotFound);
    const std::string complete = record(1000, "entry-1", "requests_ended", R"("sequence":0,"total":1,"in_time":1)");
    logs.add(complete + complete.substr(0, complete.size() / 2));
    const Core::Result<Logs::IntervalLoss> truncated = Logs::explainInterval(logs.m_paths, interval);
    REQUIRE(truncated);
    CHECK(truncated.value().m_total == 1);
    CHECK(truncated.value().m_read.m_lines == Logs::LineCounts{1, 1, 1});
}

TEST_CASE("A line without an end does not fill the memory")
{
    // A damaged or foreign file may contain no line breaks at all.
    LogFiles logs;
    std::string content(3 << 20, 'x');
    content += "\n";
    content += record(1000, "entry-1", "requests_ended", R"("sequence":0,"total":1,"in_time":1)");
    logs.add(content);
    const Core::Result<Logs::IntervalLoss> loss = Logs::explainInterval(logs.m_paths, Logs::Interval{0, 5000});
    REQUIRE(loss);
    CHECK(loss.value().m_total == 1);
    CHECK(loss.value().m_read.m_lines.m_foreign == 1);
}
