/// @file The test language: a script names a fleet and a list of steps, each with one verb.
#pragma once

#include "LibBench/Topology.h"
#include "LibCore/Clock.h"
#include "LibSettings/Reader.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Scenario {

/// Publishes a template for one client account through the command line of the operators.
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
    std::int64_t m_basedOn = -1; ///< -1: whatever is in force.
    bool m_refused = false; ///< The step holds only if the publication is refused.
    int m_repetitions = 1; ///< Published so many times, one after another.

    bool operator==(const Publish &) const = default;
};

/// Runs the load tool, in the background if asked; its counts are kept under the name.
struct Load
{
    std::string m_name;
    std::string m_target; ///< "generate:TEMPLATE" or "call:SERVICE".
    std::string m_account;
    double m_rate = 10; ///< Requests a second.
    int m_count = 0;
    bool m_keyed = false; ///< Calls that may not be repeated, each with a key of its own.
    bool m_background = false;
    bool m_honoursRetryAfter = false; ///< Callers that were refused as not run come back when the refusal says.
    int m_maximumTokens = 8;
    int m_timeoutMs = 20000;

    bool operator==(const Load &) const = default;
};

/// Waits for the end of a load that runs in the background.
struct Join
{
    std::string m_load;

    bool operator==(const Join &) const = default;
};

enum class ProcessAction {
    Kill,
    Terminate,
    Freeze,
    Resume,
    Replace,
};

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
    std::string m_json;

    bool operator==(const Fault &) const = default;
};

enum class Condition {
    Serving, ///< At least m_number replicas of m_version serve.
    InForce, ///< The newest publication is in force on every instance that runs.
    Ended, ///< m_process has ended by itself with exit code m_number.
    Counter, ///< A counter of m_process is at least m_number.
    Unlisted, ///< Entries name no more than m_number addresses.
};

/// Waits for a condition; fails if it does not come.
struct Wait
{
    Condition m_condition = Condition::Serving;
    std::string m_process;
    std::string m_name; ///< Of a version or a counter.
    std::int64_t m_number = 0;
    Core::Duration m_timeout{30000};

    bool operator==(const Wait &) const = default;
};

/// Lets time pass, for faults that consist of time (a pause, an outage).
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

/// Compares a count of a load that has ended.
struct ExpectLoad
{
    std::string m_load;
    std::string m_field;
    Relation m_relation = Relation::Equal;
    double m_number = 0;

    bool operator==(const ExpectLoad &) const = default;
};

/// Judges the promises from the stand-ins' journals: whole versions only, at most one effect a key.
struct ExpectJournals
{
    bool m_everyOkRan = true;

    bool operator==(const ExpectJournals &) const = default;
};

/// Compares the bytes that left the origin, in copies of the weights, since the last publication.
struct ExpectOrigin
{
    double m_atMostCopies = 0;

    bool operator==(const ExpectOrigin &) const = default;
};

/// Prints what has happened so far as a table.
struct Report
{
    std::string m_title;

    bool operator==(const Report &) const = default;
};

using Verb = std::variant<Publish, Load, Join, ControlProcess, Fault, Wait, Sleep, ExpectLoad, ExpectJournals, ExpectOrigin, Report>;

struct Step
{
    Verb m_verb;
    std::string m_text; ///< The step as reports name it, for example "kill agent:drafting-models-1".

    bool operator==(const Step &) const = default;
};

struct Script
{
    std::string m_name;
    std::string m_description; ///< Plain sentences: how the failure comes about and what a user notices.
    Bench::Topology m_topology;
    std::vector<Step> m_steps;

    bool operator==(const Script &) const = default;
};

/// Reads a script; every mistake is reported with its line.
Settings::Problems readScript(const std::string &content, const std::string &file, Script &script);

}
