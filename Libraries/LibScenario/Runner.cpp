/// @file Implementation of the steps.

#include "LibScenario/Runner.h"
#include "LibBench/Http.h"
#include "LibBench/Publication.h"
#include "LibBench/Sample.h"
#include "LibScenario/FleetView.h"
#include "LibScenario/Journals.h"

#include <Poco/JSON/Parser.h>
#include <iomanip>
#include <thread>

namespace Scenario {

namespace {

constexpr std::int64_t MillisecondsPerSecond = 1000;
constexpr Core::Duration LoadTimeout{180000};

/// Values of a load printed by a report step. A failed expectation prints all values.
constexpr std::array<std::string_view, 8> ReportedFields = {"sent", "ok", "not_run", "unknown", "failed", "wrong", "first_token_ms.p95", "total_ms.p95"};

Core::Error makeStepError(const std::string &step, const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::Internal, step, "", detail);
}

std::string relationName(Relation relation)
{
    switch (relation) {
    case Relation::Equal:
        return "is";
    case Relation::AtLeast:
        return "at least";
    case Relation::AtMost:
        return "at most";
    }
    return "is";
}

bool satisfies(double value, Relation relation, double number)
{
    switch (relation) {
    case Relation::Equal:
        return value == number;
    case Relation::AtLeast:
        return value >= number;
    case Relation::AtMost:
        return value <= number;
    }
    return false;
}

}

Runner::Runner(Script script, std::string programs, std::ostream &output)
    : m_script(std::move(script))
    , m_programs(std::move(programs))
    , m_output(output)
{
}

Core::Result<void> Runner::run()
{
    m_output << "scenario " << m_script.m_name << ": starting the fleet" << std::endl;
    m_fleet = BOOST_OUTCOME_TRYX(Bench::Fleet::start(m_script.m_topology, m_programs));
    m_digests = BOOST_OUTCOME_TRYX(readStoredDigests(*m_fleet));
    for (const Step &step : m_script.m_steps) {
        const Core::Instant started = Core::Clock::now();
        const Core::Result<void> result = runStep(step);
        m_output << std::fixed << std::setprecision(2) << "  " << (result ? "ok    " : "FAILED") << " " << Core::secondsBetween(started, Core::Clock::now())
                 << " s  " << step.m_text << std::endl;
        if (!result) {
            m_fleet->keepDirectory();
            m_output << "  settings and logs of the processes are kept in " << m_fleet->directory() << std::endl;
            return result;
        }
    }
    const std::vector<std::string> ended = m_fleet->unexpectedExits();
    if (!ended.empty()) {
        return makeStepError("end of scenario",
                             "process " + ended.front() + " ended by itself:\n" + Bench::readWholeFile(m_fleet->process(ended.front())->logFile()));
    }
    return Core::success();
}

Core::Result<void> Runner::runStep(const Step &step)
{
    return std::visit([this](const auto &verb) { return perform(verb); }, step.m_verb);
}

Core::Result<void> Runner::perform(const Publish &publish)
{
    Bench::Publication publication;
    publication.m_template = publish.m_template;
    publication.m_service = publish.m_service;
    publication.m_isModel = publish.m_isModel;
    publication.m_policy = publish.m_policy;
    publication.m_originCopies = publish.m_policy == "time" ? 4 : 1;
    publication.m_operator = publish.m_operator;
    publication.m_accounts = {Bench::PublishedAccount{publish.m_account, publish.m_model, publish.m_version, publish.m_replicas, publish.m_failureDomains}};
    if (publish.m_basedOn >= 0) {
        publication.m_basedOn = static_cast<std::uint64_t>(publish.m_basedOn);
    }
    m_originBytesAtPublication = originBytesSent(*m_fleet);
    m_publishedAt = Core::Clock::now();
    for (int repetition = 0; repetition < publish.m_repetitions; ++repetition) {
        BOOST_OUTCOME_TRYV(publishOnce(publication, publish.m_refused));
    }
    return Core::success();
}

Core::Result<void> Runner::publishOnce(const Bench::Publication &publication, bool refused)
{
    const Bench::ToolOutcome outcome = BOOST_OUTCOME_TRYX(Bench::publish(*m_fleet, m_programs, publication));
    if ((outcome.m_exitCode != 0) != refused) {
        return makeStepError("publish", "exit code " + std::to_string(outcome.m_exitCode) + ": " + outcome.m_output);
    }
    if (!refused) {
        m_lastRevision = BOOST_OUTCOME_TRYX(parsePublishedRevision(outcome.m_output));
    }
    return Core::success();
}

std::vector<std::string> Runner::loadArguments(const Load &load) const
{
    std::string entries;
    for (const Bench::ProcessSpec *entry : m_fleet->ofKind(Bench::ProcessKind::Entry)) {
        entries += (entries.empty() ? "" : ",") + entry->m_callers.toString();
    }
    const bool isCall = load.m_target.starts_with("call:");
    const std::string name = load.m_target.substr(load.m_target.find(':') + 1);
    std::vector<std::string> arguments = {
        "--entries",
        entries,
        isCall ? "--service" : "--template",
        name,
        "--accounts",
        load.m_account,
        "--rate",
        std::to_string(load.m_rate),
        "--count",
        std::to_string(load.m_count),
        "--max-tokens",
        std::to_string(load.m_maximumTokens),
        "--timeout-ms",
        std::to_string(load.m_timeoutMs),
        "--output",
        "json",
    };
    if (load.m_honoursRetryAfter) {
        arguments.push_back("--honour-retry-after");
    }
    if (load.m_keyed) {
        arguments.push_back("--keyed");
    }
    return arguments;
}

Core::Result<void> Runner::perform(const Load &load)
{
    const std::string file = m_fleet->directory() + "/load-" + load.m_name + ".out";
    Bench::Process process = BOOST_OUTCOME_TRYX(Bench::Process::start(m_programs + "/oriolerail-load", loadArguments(load), file));
    m_loads.insert_or_assign(load.m_name, std::move(process));
    return load.m_background ? Core::success() : finishLoad(load.m_name);
}

Core::Result<void> Runner::perform(const Join &join)
{
    return finishLoad(join.m_load);
}

Core::Result<void> Runner::finishLoad(const std::string &name)
{
    const std::map<std::string, Bench::Process>::iterator it = m_loads.find(name);
    if (it == m_loads.end()) {
        return makeStepError("join load", "no load " + name + " is running");
    }
    if (!it->second.wait(LoadTimeout)) {
        return makeStepError("join load", "load " + name + " did not end in time");
    }
    const std::string output = Bench::readWholeFile(it->second.logFile());
    m_loads.erase(it);
    m_results[name] = BOOST_OUTCOME_TRYX(parseLoadResult(output));
    return Core::success();
}

Core::Result<void> Runner::perform(const ControlProcess &control)
{
    switch (control.m_action) {
    case ProcessAction::Kill:
        return m_fleet->kill(control.m_process);
    case ProcessAction::Terminate:
        return m_fleet->terminate(control.m_process);
    case ProcessAction::Freeze:
        return m_fleet->freeze(control.m_process);
    case ProcessAction::Resume:
        return m_fleet->resume(control.m_process);
    case ProcessAction::Replace:
        return m_fleet->replace(control.m_process);
    }
    return Core::success();
}

Core::Result<void> Runner::perform(const Fault &fault)
{
    return m_fleet->setFaults(fault.m_process, fault.m_json);
}

bool Runner::isMet(const Wait &wait)
{
    switch (wait.m_condition) {
    case Condition::Serving:
        return servingReplicas(*m_fleet, m_digests.m_byVersion[wait.m_name]) >= wait.m_number;
    case Condition::InForce:
        return isInForceEverywhere(*m_fleet, m_lastRevision);
    case Condition::Ended: {
        Bench::Process *process = m_fleet->process(wait.m_process);
        return process && process->poll() == static_cast<int>(wait.m_number);
    }
    case Condition::Counter:
        return counterValue(*m_fleet, wait.m_process, wait.m_name) >= static_cast<double>(wait.m_number);
    case Condition::Unlisted:
        return countListedAddresses(*m_fleet) <= wait.m_number;
    }
    return false;
}

Core::Result<void> Runner::perform(const Wait &wait)
{
    const bool met = Bench::waitUntil([this, &wait] { return isMet(wait); }, wait.m_timeout);
    if (!met) {
        return makeStepError(
            "wait", "the condition did not come within " + std::to_string(wait.m_timeout.count() / MillisecondsPerSecond) + " s\n" + describeFleet(*m_fleet));
    }
    if (wait.m_condition == Condition::Serving) {
        m_measurements["seconds to " + std::to_string(wait.m_number) + " replicas of version " + wait.m_name] =
            Core::secondsBetween(m_publishedAt, Core::Clock::now());
        m_measurements["origin copies for version " + wait.m_name] = originCopies();
    }
    return Core::success();
}

Core::Result<void> Runner::perform(const Sleep &sleep)
{
    std::this_thread::sleep_for(sleep.m_duration);
    return Core::success();
}

Core::Result<void> Runner::perform(const ExpectLoad &expect)
{
    const std::map<std::string, LoadResult>::const_iterator result = m_results.find(expect.m_load);
    if (result == m_results.end()) {
        return makeStepError("expect", "no load " + expect.m_load + " has ended");
    }
    const LoadResult::const_iterator value = result->second.find(expect.m_field);
    if (value == result->second.end()) {
        return makeStepError("expect", "load " + expect.m_load + " has no count " + expect.m_field);
    }
    if (!satisfies(value->second, expect.m_relation, expect.m_number)) {
        std::ostringstream detail;
        detail << expect.m_load << "." << expect.m_field << " = " << value->second << ", expected " << relationName(expect.m_relation) << " "
               << expect.m_number;
        for (const std::pair<const std::string, double> &count : result->second) {
            detail << "\n    " << count.first << " = " << count.second;
        }
        return makeStepError("expect", detail.str());
    }
    return Core::success();
}

Core::Result<void> Runner::perform(const ExpectJournals &)
{
    return checkJournals(*m_fleet, m_digests);
}

double Runner::originCopies() const
{
    const double weights = static_cast<double>(m_script.m_topology.m_versions.front().m_bytes);
    return static_cast<double>(originBytesSent(*m_fleet) - m_originBytesAtPublication) / weights;
}

Core::Result<void> Runner::perform(const ExpectOrigin &expect)
{
    const double copies = originCopies();
    if (copies > expect.m_atMostCopies) {
        return makeStepError("expect origin", std::to_string(copies) + " copies left the origin, expected at most " + std::to_string(expect.m_atMostCopies));
    }
    return Core::success();
}

Core::Result<void> Runner::perform(const Report &report)
{
    m_output << "\n" << report.m_title << "\n" << std::fixed << std::setprecision(2);
    for (const std::pair<const std::string, double> &measurement : m_measurements) {
        m_output << "  " << std::left << std::setw(48) << measurement.first << std::right << std::setw(10) << measurement.second << "\n";
    }
    for (const std::pair<const std::string, LoadResult> &load : m_results) {
        for (const std::string_view field : ReportedFields) {
            const LoadResult::const_iterator count = load.second.find(std::string(field));
            if (count != load.second.end()) {
                m_output << "  " << std::left << std::setw(48) << ("load " + load.first + ": " + count->first) << std::right << std::setw(10) << count->second
                         << "\n";
            }
        }
    }
    m_output << std::endl;
    return Core::success();
}

}
