/// @file The commands that show what is in force: status, dump, addresses and explain.

#include "Command.h"
#include "EntryStatus.h"
#include "LibControl/Publisher.h"
#include "LibPlatform/HttpLog.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Parser.h>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace Cli {

namespace {

constexpr Core::Duration WatchInterval{500};
constexpr int BarWidth = 30;
constexpr std::size_t ShownDigestDigits = 12;

std::string shortDigest(const std::string &digest)
{
    return digest.substr(0, ShownDigestDigits);
}

std::string progressBar(double fraction)
{
    const int filled = static_cast<int>(fraction * BarWidth);
    return "[" + std::string(static_cast<std::size_t>(filled), '#') + std::string(static_cast<std::size_t>(BarWidth - filled), '.') + "]";
}

double totalProgress(const Control::StatusPage &page)
{
    double done = 0;
    double wanted = 0;
    for (const Control::DeploymentStatus &status : page.m_deployments) {
        done += Control::deploymentProgress(page, status) * status.m_wanted;
        wanted += status.m_wanted;
    }
    return wanted == 0 ? 1 : done / wanted;
}

bool servesEverything(const Control::StatusPage &page)
{
    const auto hasAllReplicas = [](const Control::DeploymentStatus &status) { return status.m_serving.size() >= status.m_wanted; };
    return std::all_of(page.m_deployments.begin(), page.m_deployments.end(), hasAllReplicas);
}

std::string statusText(const EntryStatus &status)
{
    const Control::StatusPage &page = status.m_page;
    std::ostringstream text;
    text << "revision " << page.m_applied << "\n";
    for (const Control::DeploymentStatus &deployment : page.m_deployments) {
        text << deployment.m_service << " " << deployment.m_model << " " << deployment.m_version << " (" << shortDigest(deployment.m_digest)
             << "): " << deployment.m_serving.size() << " of " << deployment.m_wanted << " replicas serve "
             << progressBar(Control::deploymentProgress(page, deployment)) << "\n";
        for (const std::pair<const std::string, Control::FailureDomainStatus> &domain : Control::statusByFailureDomain(page, deployment)) {
            text << "  " << domain.first << ": " << domain.second.m_serving << " of " << domain.second.m_wanted << "\n";
        }
    }
    const std::vector<std::string> behind = Control::instancesBehind(page, page.m_applied);
    text << page.m_instances.size() << " instances, " << behind.size() << " behind revision " << page.m_applied << "\n";
    for (const std::string &instance : behind) {
        text << "  behind: " << instance << "\n";
    }
    for (const Core::Error &error : status.m_errors) {
        text << "no answer: " << error.message() << "\n";
    }
    return text.str();
}

/// Returns the status in JSON.
Poco::JSON::Object::Ptr statusJson(const EntryStatus &status)
{
    const Control::StatusPage &page = status.m_page;
    Poco::JSON::Array::Ptr deployments = new Poco::JSON::Array;
    for (const Control::DeploymentStatus &deployment : page.m_deployments) {
        Poco::JSON::Object::Ptr domains = new Poco::JSON::Object;
        for (const std::pair<const std::string, Control::FailureDomainStatus> &domain : Control::statusByFailureDomain(page, deployment)) {
            Poco::JSON::Object::Ptr counts = new Poco::JSON::Object;
            counts->set("wanted", domain.second.m_wanted);
            counts->set("serving", domain.second.m_serving);
            domains->set(domain.first, counts);
        }
        Poco::JSON::Object::Ptr row = new Poco::JSON::Object;
        row->set("service", deployment.m_service);
        row->set("model", deployment.m_model);
        row->set("version", deployment.m_version);
        row->set("digest", deployment.m_digest);
        row->set("plan", static_cast<Poco::UInt64>(deployment.m_plan));
        row->set("wanted", deployment.m_wanted);
        row->set("serving", static_cast<Poco::UInt64>(deployment.m_serving.size()));
        row->set("progress", Control::deploymentProgress(page, deployment));
        row->set("places", domains);
        deployments->add(row);
    }
    Poco::JSON::Object::Ptr applied = new Poco::JSON::Object;
    for (const Control::InstanceStatus &instance : page.m_instances) {
        applied->set(instance.m_id, static_cast<Poco::UInt64>(instance.m_applied));
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("applied", static_cast<Poco::UInt64>(page.m_applied));
    object->set("deployments", deployments);
    object->set("applied_at", applied);
    object->set("unreachable_entries", static_cast<Poco::UInt64>(status.m_errors.size()));
    return object;
}

/// Shows a progress line and updates it until every wanted replica serves or the timeout expires.
int watchStatus(const Arguments &arguments)
{
    const Core::Instant started = Core::Clock::now();
    const double initial = totalProgress(fetchEntryStatus(arguments).m_page);
    while (true) {
        const EntryStatus status = fetchEntryStatus(arguments);
        const double progress = totalProgress(status.m_page);
        const double elapsed = Core::secondsBetween(started, Core::Clock::now());
        std::ostringstream line;
        if (status.m_answeredEntries > 0) {
            line << progressBar(progress) << " " << std::fixed << std::setprecision(0) << progress * 100 << "%";
        } else {
            line << "no entry answers";
        }
        if (progress > initial && progress < 1) {
            line << ", about " << elapsed * (1 - progress) / (progress - initial) << " s left";
        }
        std::cout << (arguments.m_isTerminal ? "\r\033[K" : "") << line.str() << (arguments.m_isTerminal ? "" : "\n") << std::flush;
        const bool isDone = status.m_answeredEntries > 0 && servesEverything(status.m_page);
        if (isDone || elapsed * 1000 > static_cast<double>(arguments.m_timeout.count())) {
            std::cout << (arguments.m_isTerminal ? "\n" : "");
            return isDone ? ExitOk : ExitFailed;
        }
        std::this_thread::sleep_for(WatchInterval);
    }
}

int printJsonBody(const Arguments &arguments, const Core::Result<std::string> &body)
{
    if (!body) {
        return reportError(arguments, body.error());
    }
    std::cout << body.value() << "\n";
    return ExitOk;
}

Core::Result<Core::Address> singleAddress(const Arguments &arguments)
{
    if (arguments.m_operands.size() != 1) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read arguments", "", "one address is needed");
    }
    return Core::parseAddress(arguments.m_operands.front());
}

int explainRecord(const Arguments &arguments, const Control::ControlState &state, const std::string &record)
{
    const Control::RecordOutcome *outcome = Control::findOutcome(state, record);
    if (!outcome) {
        const std::string detail = "no such record among the newest " + std::to_string(Control::MaximumOutcomes);
        return reportError(arguments, Core::makeError(Core::ErrorCode::NotFound, "explain record", "", detail));
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("accepted", outcome->m_accepted);
    object->set("revision", static_cast<Poco::UInt64>(outcome->m_offset));
    object->set("winner", static_cast<Poco::UInt64>(outcome->m_winner));
    object->set("winner_author", outcome->m_winnerAuthor);
    object->set("detail", outcome->m_detail);
    std::ostringstream text;
    text << (outcome->m_accepted ? "accepted as revision " : "refused at ") << outcome->m_offset;
    text << (outcome->m_detail.empty() ? "" : ": " + outcome->m_detail);
    text << (outcome->m_winner > 0 ? "; revision " + std::to_string(outcome->m_winner) + " by " + outcome->m_winnerAuthor + " came first" : "") << "\n";
    print(arguments, object, text.str());
    return ExitOk;
}

/// Adds a row and a line of text for each planned replica of one account's version.
void explainParameters(const Control::ControlState &state,
                       const Control::AcceptedTemplate &accepted,
                       const Control::AccountParameters &parameters,
                       Poco::JSON::Array &rows,
                       std::ostream &text)
{
    const Control::Template &document = accepted.m_template;
    text << document.m_service << ": " << parameters.m_model << " " << parameters.m_version << " (" << shortDigest(parameters.m_digest) << "), "
         << parameters.m_replicas << " replicas wanted by template " << document.m_name << " revision " << accepted.m_revision << " of " << accepted.m_operator
         << "\n";
    const std::map<std::string, Control::Plan>::const_iterator plan = state.m_plans.find(document.m_service);
    if (plan == state.m_plans.end()) {
        text << "  no plan yet\n";
        return;
    }
    for (const Control::Deployment &deployment : plan->second.m_deployments) {
        if (deployment.m_digest != parameters.m_digest) {
            continue;
        }
        for (const Control::PlannedReplica &replica : deployment.m_replicas) {
            text << "  " << replica.m_instance << " in " << replica.m_failureDomain << ", plan " << plan->second.m_offset << "\n";
            Poco::JSON::Object::Ptr row = new Poco::JSON::Object;
            row->set("service", document.m_service);
            row->set("template", document.m_name);
            row->set("model", parameters.m_model);
            row->set("version", parameters.m_version);
            row->set("digest", parameters.m_digest);
            row->set("instance", replica.m_instance);
            row->set("failure_domain", replica.m_failureDomain);
            row->set("plan", static_cast<Poco::UInt64>(plan->second.m_offset));
            rows.add(row);
        }
    }
}

int explainAccount(const Arguments &arguments, const Control::ControlState &state, const std::string &account)
{
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    std::ostringstream text;
    bool isKnown = false;
    for (const std::pair<const std::string, Control::AcceptedTemplate> &entry : state.m_templates) {
        for (const Control::AccountParameters &parameters : entry.second.m_template.m_accounts) {
            if (parameters.m_account == account) {
                isKnown = true;
                explainParameters(state, entry.second, parameters, *rows, text);
            }
        }
    }
    if (!isKnown) {
        return reportError(arguments, Core::makeError(Core::ErrorCode::NotFound, "explain account", "", "no template names account " + account));
    }
    Poco::JSON::Object::Ptr object = new Poco::JSON::Object;
    object->set("replicas", rows);
    print(arguments, object, text.str());
    return ExitOk;
}

}

int runStatus(const Arguments &arguments)
{
    if (arguments.m_entries.empty()) {
        return reportUsage("status needs --entries");
    }
    if (arguments.m_watch) {
        return watchStatus(arguments);
    }
    const EntryStatus status = fetchEntryStatus(arguments);
    if (status.m_answeredEntries == 0) {
        return reportError(arguments, status.m_errors.front());
    }
    print(arguments, statusJson(status), statusText(status));
    return ExitOk;
}

int runDump(const Arguments &arguments)
{
    const Core::Result<Core::Address> address = singleAddress(arguments);
    return address ? printJsonBody(arguments, fetch(arguments, address.value(), "read dump", "/dump")) : reportUsage(address.error().message());
}

int runAddresses(const Arguments &arguments)
{
    const Core::Result<Core::Address> address = singleAddress(arguments);
    return address ? printJsonBody(arguments, fetch(arguments, address.value(), "read addresses", "/v1/addresses")) : reportUsage(address.error().message());
}

int runExplain(const Arguments &arguments)
{
    if (!arguments.m_operands.empty() && (arguments.m_operands[0] == "request" || arguments.m_operands[0] == "interval")) {
        return runExplainLogs(arguments);
    }
    const bool isComplete = arguments.m_operands.size() == 2 && arguments.m_log;
    if (!isComplete || (arguments.m_operands[0] != "record" && arguments.m_operands[0] != "account")) {
        return reportUsage("explain needs \"record ID\" or \"account NAME\", and --log");
    }
    Platform::HttpLog log(arguments.m_network, *arguments.m_log);
    Control::Publisher publisher(log);
    const Core::Result<void> loaded = publisher.load();
    if (!loaded) {
        return reportError(arguments, loaded.error());
    }
    const std::string &name = arguments.m_operands[1];
    return arguments.m_operands[0] == "record" ? explainRecord(arguments, publisher.state(), name) : explainAccount(arguments, publisher.state(), name);
}

}
