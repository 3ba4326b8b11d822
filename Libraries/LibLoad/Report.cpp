/// @file Implementation of the report.

#include "LibLoad/Report.h"

#include "LibJson/Json.h"

#include <Poco/JSON/Array.h>
#include <iomanip>
#include <sstream>

namespace Load {

namespace {

constexpr double MillisecondsPerSecond = 1000;
constexpr double Median = 0.5;
constexpr double Percentile95 = 0.95;
constexpr double Percentile99 = 0.99;

Poco::JSON::Object quantiles(const Telemetry::Latency &latency)
{
    Poco::JSON::Object object;
    object.set("count", latency.count());
    object.set("p50", latency.quantile(Median) * MillisecondsPerSecond);
    object.set("p95", latency.quantile(Percentile95) * MillisecondsPerSecond);
    object.set("p99", latency.quantile(Percentile99) * MillisecondsPerSecond);
    return object;
}

std::string quantileText(const std::string &name, const Telemetry::Latency &latency)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << std::left << std::setw(16) << name << std::right << " p50 " << std::setw(9)
         << latency.quantile(Median) * MillisecondsPerSecond << "  p95 " << std::setw(9) << latency.quantile(Percentile95) * MillisecondsPerSecond << "  p99 "
         << std::setw(9) << latency.quantile(Percentile99) * MillisecondsPerSecond << "  ms\n";
    return text.str();
}

/// Returns the field name of an outcome in the JSON report. Underscores replace dashes, so that the name can be used in expressions.
std::string fieldName(Outcome outcome)
{
    std::string name(outcomeName(outcome));
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

constexpr std::array<Outcome, 5> AllOutcomes{Outcome::Ok, Outcome::NotRun, Outcome::Unknown, Outcome::Failed, Outcome::Wrong};

}

bool isExpected(const Request &request, const Observation &observation)
{
    return request.m_expected.empty() || request.m_expected == "any" || request.m_expected == outcomeName(observation.m_outcome);
}

void Report::add(const Request &request, const Observation &observation)
{
    if (observation.m_outcome == Outcome::Ok) {
        m_total.record(observation.m_totalMs / MillisecondsPerSecond);
        if (observation.m_firstTokenMs > 0) {
            m_firstToken.record(observation.m_firstTokenMs / MillisecondsPerSecond);
        }
        if (observation.m_largestGapMs > 0) {
            m_betweenTokens.record(observation.m_largestGapMs / MillisecondsPerSecond);
        }
    }
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_sent;
    ++m_outcomes[observation.m_outcome];
    if (!observation.m_code.empty()) {
        ++m_codes[observation.m_code];
    }
    AccountCounts &account = m_accounts[request.m_account];
    ++account.m_sent;
    m_retries += observation.m_retries;
    m_largestWaitMs = std::max(m_largestWaitMs, observation.m_waitedMs);
    if (observation.m_outcome == Outcome::Ok) {
        ++account.m_ok;
        m_tokens += observation.m_tokens;
        m_late += observation.m_totalMs > static_cast<double>(request.m_timeout.count()) ? 1 : 0;
        if (!observation.m_version.empty()) {
            ++m_versions[observation.m_version];
        }
    }
    const bool expected = isExpected(request, observation);
    m_unexpected += expected ? 0 : 1;
    if (!expected || observation.m_outcome == Outcome::Wrong || observation.m_outcome == Outcome::Failed) {
        recordProblem(request, observation);
    }
}

/// Must be called with m_mutex held.
void Report::recordProblem(const Request &request, const Observation &observation)
{
    if (m_problems.size() == MaximumProblems) {
        return;
    }
    std::string text = "request " + std::to_string(request.m_index) + " of " + request.m_account + " at " + observation.m_entry + ": "
        + std::string(outcomeName(observation.m_outcome)) + " " + observation.m_code + ": " + observation.m_detail;
    if (!request.m_expected.empty()) {
        text += " (expected " + request.m_expected + ")";
    }
    m_problems.push_back(text);
}

void Report::finish(double seconds)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_seconds = seconds;
}

std::uint64_t Report::count(Outcome outcome) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<Outcome, std::uint64_t>::const_iterator found = m_outcomes.find(outcome);
    return found == m_outcomes.end() ? 0 : found->second;
}

std::uint64_t Report::unexpected() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_unexpected;
}

std::string Report::json() const
{
    Poco::JSON::Object object;
    for (const Outcome outcome : AllOutcomes) {
        object.set(fieldName(outcome), count(outcome));
    }
    object.set("first_token_ms", quantiles(m_firstToken));
    object.set("largest_gap_ms", quantiles(m_betweenTokens));
    object.set("total_ms", quantiles(m_total));
    const std::lock_guard<std::mutex> lock(m_mutex);
    object.set("sent", m_sent);
    object.set("seconds", m_seconds);
    object.set("late", m_late);
    object.set("retries", m_retries);
    object.set("tokens", m_tokens);
    object.set("unexpected", m_unexpected);
    object.set("largest_wait_ms", m_largestWaitMs);
    Poco::JSON::Object codes;
    for (const std::pair<const std::string, std::uint64_t> &entry : m_codes) {
        codes.set(entry.first, entry.second);
    }
    object.set("codes", codes);
    Poco::JSON::Object versions;
    for (const std::pair<const std::string, std::uint64_t> &entry : m_versions) {
        versions.set(entry.first, entry.second);
    }
    object.set("versions", versions);
    Poco::JSON::Object accounts;
    for (const std::pair<const std::string, AccountCounts> &entry : m_accounts) {
        Poco::JSON::Object account;
        account.set("sent", entry.second.m_sent);
        account.set("ok", entry.second.m_ok);
        accounts.set(entry.first, account);
    }
    object.set("accounts", accounts);
    Poco::JSON::Array problems;
    for (const std::string &problem : m_problems) {
        problems.add(problem);
    }
    object.set("problems", problems);
    return Json::toLine(object);
}

std::string Report::text() const
{
    std::ostringstream text;
    for (const Outcome outcome : AllOutcomes) {
        text << std::left << std::setw(16) << outcomeName(outcome) << std::right << std::setw(10) << count(outcome) << "\n";
    }
    text << quantileText("first token", m_firstToken) << quantileText("largest gap", m_betweenTokens) << quantileText("total", m_total);
    const std::lock_guard<std::mutex> lock(m_mutex);
    text << std::fixed << std::setprecision(1) << m_sent << " requests in " << m_seconds << " s, " << m_retries << " retries, " << m_late << " late, "
         << m_tokens << " tokens, largest wait in the tool " << m_largestWaitMs << " ms\n";
    for (const std::pair<const std::string, std::uint64_t> &entry : m_codes) {
        text << "  code " << std::left << std::setw(20) << entry.first << std::right << std::setw(10) << entry.second << "\n";
    }
    for (const std::pair<const std::string, std::uint64_t> &entry : m_versions) {
        text << "  version " << std::left << std::setw(17) << entry.first << std::right << std::setw(10) << entry.second << "\n";
    }
    for (const std::string &problem : m_problems) {
        text << "  " << problem << "\n";
    }
    return text.str();
}

std::string csvHeader()
{
    return "index,at_ms,started_ms,kind,account,outcome,code,status,version,tokens,retries,first_token_ms,largest_gap_ms,total_ms,entry,key\n";
}

std::string csvRow(const Request &request, const Observation &observation)
{
    std::ostringstream row;
    row << request.m_index << ',' << request.m_at.count() << ',' << observation.m_startedMs << ','
        << (request.m_kind == RequestKind::Call ? "call" : "generate") << ',' << request.m_account << ',' << outcomeName(observation.m_outcome) << ','
        << observation.m_code << ',' << observation.m_status << ',' << observation.m_version << ',' << observation.m_tokens << ',' << observation.m_retries
        << ',' << observation.m_firstTokenMs << ',' << observation.m_largestGapMs << ',' << observation.m_totalMs << ',' << observation.m_entry << ','
        << observation.m_key << '\n';
    return row.str();
}

}
