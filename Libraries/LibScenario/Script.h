/// @file The scenario language: a script defines a fleet and a list of steps, each with one verb.
#pragma once

#include "LibBench/Topology.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Scenario {

/// Publishes a template, the configuration of a service, with parameters for one client account. Uses the operators' command-line tool.
struct Publish
{
    std::string m_template;
    std::string m_service;
    bool m_isModel = true;
    std::string m_account;
    std::string m_model;
    std::string m_version;
    int m_replicas = 1;
    std::vector<std::string> m_failureDomains;
    std::string m_policy;
    std::string m_operator;
    std::int64_t m_basedOn = -1; ///< Revision to base the publication on; -1: the one in force.
    bool m_refused = false; ///< The publication must be refused for the step to succeed.
    int m_repetitions = 1; ///< Number of consecutive publications.

    bool operator==(const Publish &) const = default;
};

/// Runs the load tool, optionally in the background. Its result is stored under the name of the load.
struct Load
{
    std::string m_name;
    std::string m_target; ///< "generate:TEMPLATE" or "call:SERVICE".
    std::string m_account;
    double m_rate = 10; ///< Requests per second.
    int m_count = 0; ///< Number of requests.
    bool m_keyed = false; ///< The calls are not repeatable, each with its own idempotency key.
    bool m_background = false;
    bool m_honoursRetryAfter = false; ///< Callers retry a refused request that did not run after the delay requested by the refusal.
    int m_maximumTokens = 8;
    int m_timeoutMs = 20000;

    bool operator==(const Load &) const = default;
};

/// Waits for a background load to finish.
struct Join
{
    std::string m_load;

    bool operator==(const Join &) const = default;
};

enum class ProcessAction {
    Kill, ///< SIGKILL
    Terminate, ///< SIGTERM; the process drains.
    Freeze, ///< SIGSTOP
    Resume, ///< SIGCONT
    Replace, ///< Starts an ended process again without its former state.
};

/// Kills, pauses or restarts a process of the fleet.
struct ControlProcess
{
    ProcessAction m_action = ProcessAction::Kill;
    std::string m_process;

    bool operator==(const ControlProcess &) const = default;
};

/// Sets fault switches of a stand-in.
struct Fault
{
    std::string m_process;
    std::string m_json; ///< Body of the POST to /faults.

    bool operator==(const Fault &) const = default;
};

enum class Condition {
    Serving, ///< At least m_number replicas of version m_name serve.
    InForce, ///< The latest publication is in force on every running entry and agent.
    Ended, ///< m_process has exited with exit code m_number.
    Counter, ///< The counter m_name of m_process is at least m_number.
    Unlisted, ///< No entry lists more than m_number addresses to callers.
};

/// Waits for a condition; fails if it is not met within the timeout.
struct Wait
{
    Condition m_condition = Condition::Serving;
    std::string m_process;
    std::string m_name; ///< Name of a version or counter, depending on the condition.
    std::int64_t m_number = 0;
    Core::Duration m_timeout{30000};

    bool operator==(const Wait &) const = default;
};

/// Waits for a fixed time, for faults with a duration such as a pause or an outage.
struct Sleep
{
    Core::Duration m_duration{0};

    bool operator==(const Sleep &) const = default;
};

enum class Relation {
    Equal,
    AtLeast,
    AtMost,
};

/// Compares a value of a finished load with a number.
struct ExpectLoad
{
    std::string m_load;
    std::string m_field;
    Relation m_relation = Relation::Equal;
    double m_number = 0;

    bool operator==(const ExpectLoad &) const = default;
};

/// Checks the journals of the stand-ins: requests ran only on complete versions, and each idempotency key had at most one effect.
struct ExpectJournals
{
    bool m_everyOkRan = true;

    bool operator==(const ExpectJournals &) const = default;
};

/// Limits the bytes sent by the origin since the latest publish step, in copies of the weights.
struct ExpectOrigin
{
    double m_atMostCopies = 0;

    bool operator==(const ExpectOrigin &) const = default;
};

/// Prints the measurements and load results so far as a table.
struct Report
{
    std::string m_title;

    bool operator==(const Report &) const = default;
};

using Verb = std::variant<Publish, Load, Join, ControlProcess, Fault, Wait, Sleep, ExpectLoad, ExpectJournals, ExpectOrigin, Report>;

/// One step of a script.
struct Step
{
    Verb m_verb;
    std::string m_text; ///< Description of the step in the output, for example "kill agent:drafting-models-1".

    bool operator==(const Step &) const = default;
};

/// A complete script.
struct Script
{
    std::string m_name;
    std::string m_description; ///< How the failure comes about and what users notice, in plain sentences.
    Bench::Topology m_topology;
    std::vector<Step> m_steps;

    bool operator==(const Script &) const = default;
};

/// Parses a script into @p script. Returns all problems with their lines.
Settings::Problems readScript(const std::string &content, const std::string &file, Script &script);

}
