/// @file Counts and latencies of a load run.
#pragma once

#include "LibLoad/Request.h"
#include "LibTelemetry/Metrics.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Load {

/// Aggregates the results of requests. Thread-safe.
class Report
{
public:
    void add(const Request &request, const Observation &observation);
    /// Called at the end of the run with its duration.
    void finish(double seconds);

    /// Returns the number of requests with the given outcome.
    std::uint64_t count(Outcome outcome) const;
    /// Returns the number of replayed requests whose outcome differs from the one in the trace.
    std::uint64_t unexpected() const;

    /// Returns the report as one line of JSON.
    std::string json() const;
    /// Returns the report as a table for people.
    std::string text() const;

private:
    struct AccountCounts
    {
        std::uint64_t m_sent = 0;
        std::uint64_t m_ok = 0;
    };

    static constexpr std::size_t MaximumProblems = 10;

    void recordProblem(const Request &request, const Observation &observation);

    mutable std::mutex m_mutex;
    std::uint64_t m_sent = 0;
    std::map<Outcome, std::uint64_t> m_outcomes;
    std::map<std::string, std::uint64_t> m_codes;
    std::map<std::string, std::uint64_t> m_versions; ///< Complete answers by version.
    std::map<std::string, AccountCounts> m_accounts;
    std::uint64_t m_retries = 0;
    std::uint64_t m_late = 0; ///< Complete answers that ended after their deadline.
    std::uint64_t m_tokens = 0;
    std::uint64_t m_unexpected = 0;
    double m_largestWaitMs = 0; ///< Longest time that a request waited within the load tool.
    double m_seconds = 0;
    std::vector<std::string> m_problems; ///< Descriptions of the first requests that failed or had a wrong or unexpected outcome.
    Telemetry::Latency m_firstToken;
    Telemetry::Latency m_betweenTokens; ///< The longest gap of each answer.
    Telemetry::Latency m_total;
};

/// Returns true if the outcome matches the one in the trace, or the trace has none.
bool isExpected(const Request &request, const Observation &observation);

/// Returns the header line of the CSV output, newline included.
std::string csvHeader();
/// Returns the line of one request, newline included.
std::string csvRow(const Request &request, const Observation &observation);

}
