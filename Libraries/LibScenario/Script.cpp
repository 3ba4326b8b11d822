/// @file Implementation of the script parser.

#include "LibScenario/Script.h"

namespace Scenario {

namespace {

constexpr std::size_t MaximumSteps = 200;
constexpr std::int64_t MaximumWaitSeconds = 120;
constexpr std::int64_t MaximumNumber = 1'000'000'000;

Bench::Topology presetTopology(const std::string &preset)
{
    if (preset == "sao-mai") {
        return Bench::saoMaiTopology();
    }
    if (preset == "accrochage") {
        return Bench::accrochageTopology();
    }
    if (preset == "burst") {
        return Bench::burstTopology(16);
    }
    return Bench::smallTopology();
}

Bench::Topology readTopology(Settings::Reader &reader)
{
    Bench::Topology topology = presetTopology(reader.choice("preset", {"small", "sao-mai", "accrochage", "burst"}, "small"));
    topology.m_entries = static_cast<int>(reader.integer("entries", 1, 40, topology.m_entries));
    topology.m_listLagMs = static_cast<int>(reader.integer("list_lag_ms", 0, 60000, topology.m_listLagMs));
    topology.m_logRetentionRecords = static_cast<int>(reader.integer("log_retention_records", 2, 1000000, topology.m_logRetentionRecords));
    topology.m_firstTokenMs = static_cast<int>(reader.integer("first_token_ms", 0, 10000, topology.m_firstTokenMs));
    topology.m_tokenMs = static_cast<int>(reader.integer("token_ms", 0, 10000, topology.m_tokenMs));
    topology.m_loadMsPerMebibyte = static_cast<int>(reader.integer("load_ms_per_mebibyte", 0, 10000, topology.m_loadMsPerMebibyte));
    topology.m_engineCapacity = static_cast<int>(reader.integer("engine_capacity", 1, 1000, topology.m_engineCapacity));
    topology.m_links.m_instance =
        static_cast<std::uint64_t>(reader.integer("instance_link", 1024, MaximumNumber, static_cast<std::int64_t>(topology.m_links.m_instance)));
    topology.m_links.m_origin =
        static_cast<std::uint64_t>(reader.integer("origin_link", 1024, MaximumNumber, static_cast<std::int64_t>(topology.m_links.m_origin)));
    const std::int64_t endpoints = reader.integer("endpoints", 1, 400, topology.m_services.front().m_endpoints);
    topology.m_services.front().m_endpoints = static_cast<int>(endpoints);
    topology.m_services.front().m_checksFencing = reader.flag("checks_fencing", topology.m_services.front().m_checksFencing);
    return topology;
}

Publish readPublish(Settings::Reader &reader)
{
    Publish publish;
    publish.m_template = reader.text("template", "drafts");
    publish.m_service = reader.text("service", "drafting-models");
    publish.m_isModel = reader.flag("model_service", true);
    publish.m_account = reader.text("account", "retail");
    publish.m_model = reader.text("model", "moodboard");
    publish.m_version = reader.text("version", "1");
    publish.m_replicas = static_cast<int>(reader.integer("replicas", 1, 10000, 1));
    publish.m_failureDomains = reader.texts("places");
    publish.m_policy = reader.choice("policy", {"bytes", "time"}, "bytes");
    publish.m_operator = reader.text("operator", "technician");
    publish.m_basedOn = reader.integer("based_on", -1, MaximumNumber, -1);
    publish.m_refused = reader.flag("refused", false);
    publish.m_repetitions = static_cast<int>(reader.integer("times", 1, 1000, 1));
    return publish;
}

Load readLoad(Settings::Reader &reader)
{
    Load load;
    load.m_name = reader.text("name");
    load.m_target = reader.text("target", "generate:drafts");
    load.m_account = reader.text("account", "retail");
    load.m_rate = reader.number("rate", 0.1, 5000, 10);
    load.m_count = static_cast<int>(reader.integer("count", 1, 100000));
    load.m_keyed = reader.flag("keyed", false);
    load.m_honoursRetryAfter = reader.flag("comes_back", false);
    load.m_background = reader.flag("background", false);
    load.m_maximumTokens = static_cast<int>(reader.integer("tokens", 1, 10000, 8));
    load.m_timeoutMs = static_cast<int>(reader.integer("timeout_ms", 100, 120000, 20000));
    return load;
}

Wait readWait(Settings::Reader &reader)
{
    Wait wait;
    wait.m_timeout = Core::Duration(1000 * reader.integer("within_s", 1, MaximumWaitSeconds, 30));
    const std::string condition = reader.choice("until", {"serving", "in_force", "ended", "counter", "unlisted"}, "serving");
    if (condition == "serving") {
        wait.m_condition = Condition::Serving;
        wait.m_name = reader.text("version");
        wait.m_number = reader.integer("replicas", 1, 10000);
    } else if (condition == "in_force") {
        wait.m_condition = Condition::InForce;
    } else if (condition == "ended") {
        wait.m_condition = Condition::Ended;
        wait.m_process = reader.text("process");
        wait.m_number = reader.integer("exit_code", 0, 255, 0);
    } else if (condition == "counter") {
        wait.m_condition = Condition::Counter;
        wait.m_process = reader.text("process");
        wait.m_name = reader.text("name");
        wait.m_number = reader.integer("at_least", 0, MaximumNumber);
    } else {
        wait.m_condition = Condition::Unlisted;
        wait.m_number = reader.integer("addresses", 0, 100);
    }
    return wait;
}

ExpectLoad readExpectLoad(Settings::Reader &reader)
{
    ExpectLoad expect;
    expect.m_load = reader.text("load");
    expect.m_field = reader.text("field");
    int relations = 0;
    const std::vector<std::pair<std::string, Relation>> names = {{"is", Relation::Equal}, {"at_least", Relation::AtLeast}, {"at_most", Relation::AtMost}};
    for (const std::pair<std::string, Relation> &name : names) {
        if (reader.has(name.first)) {
            expect.m_relation = name.second;
            expect.m_number = reader.number(name.first, 0, 1e9, 0);
            ++relations;
        }
    }
    if (relations != 1) {
        reader.addProblem("field", "expected exactly one of is, at_least, at_most");
    }
    return expect;
}

ControlProcess readControlProcess(Settings::Reader &reader, ProcessAction action)
{
    return ControlProcess{action, reader.text("process")};
}

/// If the step has the verb @p name, parses it into @p step and increments @p verbs.
template <typename Read>
void readVerb(Settings::Reader &reader, const std::string &name, int &verbs, Step &step, Read read)
{
    if (!reader.has(name)) {
        return;
    }
    ++verbs;
    reader.section(name, [&](Settings::Reader &section) { step.m_verb = read(section); });
    step.m_text = name;
}

void readControlProcessVerb(Settings::Reader &reader, const std::string &name, ProcessAction action, int &verbs, Step &step)
{
    readVerb(reader, name, verbs, step, [action](Settings::Reader &section) { return readControlProcess(section, action); });
    if (const ControlProcess *control = std::get_if<ControlProcess>(&step.m_verb); control != nullptr && step.m_text == name) {
        step.m_text = name + " " + control->m_process;
    }
}

Step readStep(Settings::Reader &reader)
{
    Step step;
    int verbs = 0;
    readVerb(reader, "publish", verbs, step, readPublish);
    readVerb(reader, "load", verbs, step, readLoad);
    readVerb(reader, "join", verbs, step, [](Settings::Reader &section) { return Join{section.text("load")}; });
    readControlProcessVerb(reader, "kill", ProcessAction::Kill, verbs, step);
    readControlProcessVerb(reader, "terminate", ProcessAction::Terminate, verbs, step);
    readControlProcessVerb(reader, "freeze", ProcessAction::Freeze, verbs, step);
    readControlProcessVerb(reader, "resume", ProcessAction::Resume, verbs, step);
    readControlProcessVerb(reader, "replace", ProcessAction::Replace, verbs, step);
    readVerb(reader, "fault", verbs, step, [](Settings::Reader &section) { return Fault{section.text("process"), section.text("set")}; });
    readVerb(reader, "wait", verbs, step, readWait);
    readVerb(reader, "hold", verbs, step, [](Settings::Reader &section) { return Sleep{Core::Duration(section.integer("ms", 1, 60000))}; });
    readVerb(reader, "expect", verbs, step, readExpectLoad);
    readVerb(reader, "expect_journals", verbs, step, [](Settings::Reader &section) { return ExpectJournals{section.flag("every_ok_ran", true)}; });
    readVerb(reader, "expect_origin", verbs, step, [](Settings::Reader &section) { return ExpectOrigin{section.number("at_most_copies", 0, 1000, 1)}; });
    readVerb(reader, "report", verbs, step, [](Settings::Reader &section) { return Report{section.text("title", "")}; });
    if (verbs != 1) {
        reader.addProblem("verb", "expected exactly one verb in a step");
    }
    return step;
}

}

Settings::Problems readScript(const std::string &content, const std::string &file, Script &script)
{
    return Settings::readDocument(content, file, [&script](Settings::Reader &reader) {
        script.m_name = reader.text("name");
        script.m_description = reader.text("about");
        reader.section("fleet", [&script](Settings::Reader &section) { script.m_topology = readTopology(section); });
        reader.list("steps", MaximumSteps, [&script](Settings::Reader &section) { script.m_steps.push_back(readStep(section)); });
        if (script.m_steps.empty()) {
            reader.addProblem("steps", "expected at least one step");
        }
    });
}

}
