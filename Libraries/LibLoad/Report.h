/// @file Counts and latencies of a run.
#pragma once

#include "LibLoad/Request.h"
#include "LibTelemetry/Metrics.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Load {

/// Collects observations. Thread-safe.
class Report
{
public:
    void add(const Request &request, const Observation &observation);
    /// The run has ended.
    void finish(double seconds);

    std::uint64_t count(Outcome outcome) const;
    /// Replayed requests whose outcome differs from the one that the trace states.
    std::uint64_t unexpected() const;

    /// One line.
    std::string json() const;
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
    std::map<std::string, std::uint64_t> m_versions; ///< Whole answers by the version that they name.
    std::map<std::string, AccountCounts> m_accounts;
    std::uint64_t m_retries = 0;
    std::uint64_t m_late = 0; ///< Whole answers after their deadline.
    std::uint64_t m_tokens = 0;
    std::uint64_t m_unexpected = 0;
    double m_largestWaitMs = 0; ///< Longest time that a request waited inside the load tool.
    double m_seconds = 0;
    std::vector<std::string> m_problems; ///< The first wrong or unexpected ones, for people.
    Telemetry::Latency m_firstToken;
    Telemetry::Latency m_betweenTokens; ///< The largest gap of each answer.
    Telemetry::Latency m_total;
};

/// Whether a replayed request went as the trace states; true if it states nothing.
bool isExpected(const Request &request, const Observation &observation);

std::string csvHeader();
std::string csvRow(const Request &request, const Observation &observation);

}
