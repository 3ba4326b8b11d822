/// @file The commands that check and change what is in force: validate, publish and remove.

#include "Command.h"
#include "EntryStatus.h"
#include "LibControl/ApplyRecord.h"
#include "LibControl/Publisher.h"
#include "LibControl/TemplateDocument.h"
#include "LibCore/Digest.h"
#include "LibCore/Random.h"
#include "LibPlatform/HttpLog.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <iostream>
#include <sstream>

namespace Cli {

namespace {

struct Document
{
    Control::Template m_template;
    Settings::Problems m_problems;
};

Document readDocument(const std::string &path)
{
    Document document;
    document.m_problems = Settings::readFile(path, [&document](Settings::Reader &reader) { document.m_template = Control::readTemplateDocument(reader); });
    return document;
}

void reportProblems(const Settings::Problems &problems)
{
    for (const Settings::Problem &problem : problems) {
        std::cerr << problem.message() << "\n";
    }
}

std::string encodeSegment(const std::string &segment)
{
    std::string encoded;
    Poco::URI::encode(segment, "/?#%", encoded);
    return encoded;
}

/// Returns the manifest digest that the version's name currently has at the weight store.
Core::Result<std::string> resolveDigest(const Arguments &arguments, const Control::AccountParameters &parameters)
{
    const std::string target = "/weights/" + encodeSegment(parameters.m_model) + "/" + encodeSegment(parameters.m_version) + "/manifest";
    const std::string manifest = BOOST_OUTCOME_TRYX(fetch(arguments, *arguments.m_origin, "resolve version", target));
    return Core::sha256Hex(manifest);
}

/// Resolves each version once, so that accounts with the same version get the same digest even if the store changes in the meantime.
Core::Result<void> resolveVersions(const Arguments &arguments, Control::Template &document)
{
    std::map<std::pair<std::string, std::string>, std::string> digests;
    for (Control::AccountParameters &parameters : document.m_accounts) {
        std::string &digest = digests[std::pair(parameters.m_model, parameters.m_version)];
        if (digest.empty()) {
            digest = BOOST_OUTCOME_TRYX(resolveDigest(arguments, parameters));
        }
        parameters.m_digest = digest;
    }
    return Core::success();
}

std::string describe(const Control::RecordOutcome &outcome)
{
    std::ostringstream text;
    if (outcome.m_accepted) {
        text << "accepted as revision " << outcome.m_offset << "\n";
        return text.str();
    }
    text << "refused: " << outcome.m_detail;
    if (outcome.m_winner > 0) {
        text << "; revision " << outcome.m_winner << " by " << outcome.m_winnerAuthor << " came first";
    }
    text << " (record " << outcome.m_record << ")\n";
    return text.str();
}

Poco::JSON::Object::Ptr toJson(const Control::RecordOutcome &outcome)
{
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("record", outcome.m_record);
    object->set("accepted", outcome.m_accepted);
    object->set("revision", static_cast<Poco::UInt64>(outcome.m_offset));
    object->set("winner", static_cast<Poco::UInt64>(outcome.m_winner));
    object->set("winner_author", outcome.m_winnerAuthor);
    object->set("detail", outcome.m_detail);
    return object;
}

/// Appends the change, reads its outcome back, and waits until it is in force if requested.
int publishChange(const Arguments &arguments, Control::Publisher &publisher, const Control::Record &record)
{
    const Core::Result<Control::RecordOutcome> outcome = publisher.publish(record, arguments.m_timeout);
    if (!outcome) {
        return reportError(arguments, outcome.error());
    }
    Poco::JSON::Object::Ptr object = toJson(outcome.value());
    std::string text = describe(outcome.value());
    if (!outcome.value().m_accepted || !arguments.m_wait) {
        print(arguments, object, text);
        return outcome.value().m_accepted ? ExitOk : ExitFailed;
    }
    const RevisionProgress progress = waitUntilInForce(arguments, outcome.value().m_offset);
    Poco::JSON::Array::Ptr behind = new Poco::JSON::Array;
    for (const std::string &instance : progress.m_instancesBehind) {
        behind->add(instance);
        text += "not in force at " + instance + "\n";
    }
    object->set("instances", static_cast<Poco::UInt64>(progress.m_instances));
    object->set("not_in_force", behind);
    object->set("unreachable_entries", static_cast<Poco::UInt64>(progress.m_unreachableEntries));
    if (progress.isComplete()) {
        text += "in force on all " + std::to_string(progress.m_instances) + " instances\n";
    } else if (progress.m_instancesBehind.empty()) {
        text += "no entry could be asked\n";
    }
    print(arguments, object, text);
    return progress.isComplete() ? ExitOk : ExitFailed;
}

}

int runValidate(const Arguments &arguments)
{
    if (arguments.m_operands.empty()) {
        return reportUsage("validate needs at least one file");
    }
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    std::string text;
    for (const std::string &path : arguments.m_operands) {
        const Document document = readDocument(path);
        reportProblems(document.m_problems);
        for (const Settings::Problem &problem : document.m_problems) {
            Poco::JSON::Object::Ptr row = new Poco::JSON::Object;
            row->set("file", problem.m_file);
            row->set("line", problem.m_line);
            row->set("field", problem.m_field);
            row->set("expected", problem.m_expected);
            rows->add(row);
        }
        text += document.m_problems.empty() ? path + ": ok\n" : "";
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("problems", rows);
    print(arguments, object, text);
    return rows->size() == 0 ? ExitOk : ExitFailed;
}

int runPublish(const Arguments &arguments)
{
    if (arguments.m_operands.size() != 1 || arguments.m_operator.empty() || !arguments.m_log) {
        return reportUsage("publish needs one file, --operator and --log");
    }
    if (arguments.m_wait && arguments.m_entries.empty()) {
        return reportUsage("--wait needs --entries");
    }
    Document document = readDocument(arguments.m_operands.front());
    if (!document.m_problems.empty()) {
        reportProblems(document.m_problems);
        return ExitFailed;
    }
    if (document.m_template.m_kind == Control::ServiceKind::Model) {
        if (!arguments.m_origin) {
            return reportUsage("publish needs --origin to resolve versions");
        }
        const Core::Result<void> resolved = resolveVersions(arguments, document.m_template);
        if (!resolved) {
            return reportError(arguments, resolved.error());
        }
    }
    const std::string problem = Control::templateProblem(document.m_template);
    if (!problem.empty()) {
        return reportError(arguments, Core::makeError(Core::ErrorCode::InvalidInput, "check template", arguments.m_operands.front(), problem));
    }
    Platform::HttpLog log(arguments.m_network, *arguments.m_log);
    Control::Publisher publisher(log);
    const Core::Result<void> loaded = publisher.load();
    if (!loaded) {
        return reportError(arguments, loaded.error());
    }
    const Control::Offset basedOn = arguments.m_basedOn.value_or(Control::templateRevision(publisher.state(), document.m_template.m_name));
    const Control::PublishTemplate change{basedOn, document.m_template};
    return publishChange(arguments, publisher, Control::Record{Core::randomIdentifier(), arguments.m_operator, change});
}

int runRemove(const Arguments &arguments)
{
    if (arguments.m_operands.size() != 1 || arguments.m_operator.empty() || !arguments.m_log) {
        return reportUsage("remove needs one template name, --operator and --log");
    }
    if (arguments.m_wait && arguments.m_entries.empty()) {
        return reportUsage("--wait needs --entries");
    }
    Platform::HttpLog log(arguments.m_network, *arguments.m_log);
    Control::Publisher publisher(log);
    const Core::Result<void> loaded = publisher.load();
    if (!loaded) {
        return reportError(arguments, loaded.error());
    }
    const std::string &name = arguments.m_operands.front();
    const Control::Offset basedOn = arguments.m_basedOn.value_or(Control::templateRevision(publisher.state(), name));
    return publishChange(arguments, publisher, Control::Record{Core::randomIdentifier(), arguments.m_operator, Control::RemoveTemplate{name, basedOn}});
}

}
