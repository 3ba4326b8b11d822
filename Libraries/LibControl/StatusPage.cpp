/// @file Implementation of the status page.

#include "LibControl/StatusPage.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <set>
#include <sstream>

namespace Control {

namespace {

constexpr int MaximumNesting = 16;

bool serves(const Protocol::AgentReport &report, const std::string &digest)
{
    const auto isDigest = [&digest](const Protocol::Attestation &attestation) { return attestation.m_digest == digest; };
    return report.m_endpointHealthy && std::any_of(report.m_attestations.begin(), report.m_attestations.end(), isDigest);
}

void addTransfer(DeploymentStatus &status, const Protocol::AgentReport &report, const std::string &digest)
{
    for (const Protocol::TransferProgress &progress : report.m_transfers) {
        if (progress.m_digest == digest) {
            status.m_chunksHeld += progress.m_chunksHeld;
            status.m_chunksTotal += progress.m_chunksTotal;
        }
    }
}

DeploymentStatus deploymentStatus(const Plan &plan, const Deployment &deployment, const std::map<std::string, Protocol::AgentReport> &reports)
{
    DeploymentStatus status{plan.m_service, deployment.m_model, deployment.m_version, deployment.m_digest, plan.m_offset, {}, 0, 0};
    std::map<std::string, PlaceStatus> places;
    for (const PlannedReplica &replica : deployment.m_replicas) {
        PlaceStatus &place = places[replica.m_failureDomain];
        place.m_failureDomain = replica.m_failureDomain;
        ++place.m_wanted;
        const std::map<std::string, Protocol::AgentReport>::const_iterator report = reports.find(replica.m_instance);
        if (report == reports.end()) {
            continue;
        }
        if (serves(report->second, deployment.m_digest)) {
            ++place.m_serving;
        } else {
            addTransfer(status, report->second, deployment.m_digest);
        }
    }
    for (const std::pair<const std::string, PlaceStatus> &entry : places) {
        status.m_places.push_back(entry.second);
    }
    return status;
}

InstanceStatus instanceStatus(const Protocol::Member &member, const StatusInputs &inputs)
{
    InstanceStatus status;
    status.m_id = member.m_id;
    status.m_role = member.m_role == Protocol::Role::Entry ? "entry" : "agent";
    status.m_service = member.m_service;
    status.m_region = member.m_region;
    status.m_failureDomain = member.m_failureDomain;
    status.m_admin = member.m_admin.isEmpty() ? "" : member.m_admin.toString();
    status.m_leaving = member.m_leaving;
    const std::map<std::string, Offset>::const_iterator applied = inputs.m_applied.find(member.m_id);
    const std::map<std::string, Protocol::AgentReport>::const_iterator report = inputs.m_reports.find(member.m_id);
    if (applied != inputs.m_applied.end()) {
        status.m_applied = applied->second;
    }
    if (report != inputs.m_reports.end() && report->second.m_member.m_incarnation == member.m_incarnation) {
        status.m_applied = std::max<Offset>(status.m_applied, report->second.m_appliedOffset);
    }
    if (member.m_id == inputs.m_entry) {
        status.m_applied = inputs.m_state->m_applied;
    }
    return status;
}

using Object = Poco::JSON::Object;
using Array = Poco::JSON::Array;

Object::Ptr toJson(const InstanceStatus &status)
{
    Object::Ptr object = new Object;
    object->set("id", status.m_id);
    object->set("role", status.m_role);
    object->set("service", status.m_service);
    object->set("region", status.m_region);
    object->set("failure_domain", status.m_failureDomain);
    object->set("admin", status.m_admin);
    object->set("leaving", status.m_leaving);
    object->set("applied", static_cast<Poco::UInt64>(status.m_applied));
    return object;
}

Object::Ptr toJson(const TemplateStatus &status)
{
    Object::Ptr object = new Object;
    object->set("name", status.m_name);
    object->set("service", status.m_service);
    object->set("revision", static_cast<Poco::UInt64>(status.m_revision));
    object->set("operator", status.m_operator);
    return object;
}

Object::Ptr toJson(const DeploymentStatus &status)
{
    Object::Ptr object = new Object;
    object->set("service", status.m_service);
    object->set("model", status.m_model);
    object->set("version", status.m_version);
    object->set("digest", status.m_digest);
    object->set("plan", static_cast<Poco::UInt64>(status.m_plan));
    object->set("wanted", status.wanted());
    object->set("serving", status.serving());
    object->set("chunks_held", static_cast<Poco::UInt64>(status.m_chunksHeld));
    object->set("chunks_total", static_cast<Poco::UInt64>(status.m_chunksTotal));
    Array::Ptr places = new Array;
    for (const PlaceStatus &place : status.m_places) {
        Object::Ptr row = new Object;
        row->set("failure_domain", place.m_failureDomain);
        row->set("wanted", place.m_wanted);
        row->set("serving", place.m_serving);
        places->add(row);
    }
    object->set("places", places);
    return object;
}

template <typename T>
Array::Ptr toArray(const std::vector<T> &items)
{
    Array::Ptr array = new Array;
    for (const T &item : items) {
        array->add(toJson(item));
    }
    return array;
}

Offset offsetIn(const Object &object, const std::string &field)
{
    return static_cast<Offset>(object.getValue<Poco::UInt64>(field));
}

InstanceStatus parseInstance(const Object &object)
{
    InstanceStatus status;
    status.m_id = object.getValue<std::string>("id");
    status.m_role = object.getValue<std::string>("role");
    status.m_service = object.getValue<std::string>("service");
    status.m_region = object.getValue<std::string>("region");
    status.m_failureDomain = object.getValue<std::string>("failure_domain");
    status.m_admin = object.getValue<std::string>("admin");
    status.m_leaving = object.getValue<bool>("leaving");
    status.m_applied = offsetIn(object, "applied");
    return status;
}

TemplateStatus parseTemplate(const Object &object)
{
    return TemplateStatus{
        object.getValue<std::string>("name"), object.getValue<std::string>("service"), offsetIn(object, "revision"), object.getValue<std::string>("operator")};
}

DeploymentStatus parseDeployment(const Object &object)
{
    DeploymentStatus status;
    status.m_service = object.getValue<std::string>("service");
    status.m_model = object.getValue<std::string>("model");
    status.m_version = object.getValue<std::string>("version");
    status.m_digest = object.getValue<std::string>("digest");
    status.m_plan = offsetIn(object, "plan");
    status.m_chunksHeld = offsetIn(object, "chunks_held");
    status.m_chunksTotal = offsetIn(object, "chunks_total");
    const Array::Ptr places = object.getArray("places");
    for (unsigned index = 0; places && index < places->size(); ++index) {
        const Object::Ptr row = places->getObject(index);
        status.m_places.push_back(
            PlaceStatus{row->getValue<std::string>("failure_domain"), row->getValue<Poco::UInt32>("wanted"), row->getValue<Poco::UInt32>("serving")});
    }
    return status;
}

void combine(InstanceStatus &known, const InstanceStatus &other)
{
    known.m_applied = std::max(known.m_applied, other.m_applied);
    known.m_leaving = known.m_leaving || other.m_leaving;
    known.m_admin = known.m_admin.empty() ? other.m_admin : known.m_admin;
}

void combine(DeploymentStatus &known, const DeploymentStatus &other)
{
    if (other.m_plan != known.m_plan) {
        known = other.m_plan > known.m_plan ? other : known;
        return;
    }
    for (std::size_t index = 0; index < std::min(known.m_places.size(), other.m_places.size()); ++index) {
        known.m_places[index].m_serving = std::max(known.m_places[index].m_serving, other.m_places[index].m_serving);
    }
    if (other.m_chunksTotal > known.m_chunksTotal) {
        known.m_chunksHeld = other.m_chunksHeld;
        known.m_chunksTotal = other.m_chunksTotal;
    }
}

}

std::uint32_t DeploymentStatus::wanted() const
{
    std::uint32_t sum = 0;
    for (const PlaceStatus &place : m_places) {
        sum += place.m_wanted;
    }
    return sum;
}

std::uint32_t DeploymentStatus::serving() const
{
    std::uint32_t sum = 0;
    for (const PlaceStatus &place : m_places) {
        sum += place.m_serving;
    }
    return sum;
}

StatusPage makeStatusPage(const StatusInputs &inputs)
{
    const ControlState &state = *inputs.m_state;
    StatusPage page;
    page.m_entry = inputs.m_entry;
    page.m_ready = state.m_applied > 0;
    page.m_logUp = inputs.m_logUp;
    page.m_applied = state.m_applied;
    page.m_generation = state.m_generation;
    for (const Protocol::Member &member : inputs.m_members) {
        page.m_instances.push_back(instanceStatus(member, inputs));
    }
    for (const std::pair<const std::string, AcceptedTemplate> &entry : state.m_templates) {
        page.m_templates.push_back(TemplateStatus{entry.first, entry.second.m_template.m_service, entry.second.m_revision, entry.second.m_operator});
    }
    for (const std::pair<const std::string, Plan> &entry : state.m_plans) {
        for (const Deployment &deployment : entry.second.m_deployments) {
            page.m_deployments.push_back(deploymentStatus(entry.second, deployment, inputs.m_reports));
        }
    }
    return page;
}

std::string encodeStatusPage(const StatusPage &page)
{
    Object object;
    object.set("entry", page.m_entry);
    object.set("ready", page.m_ready);
    object.set("log_up", page.m_logUp);
    object.set("applied", static_cast<Poco::UInt64>(page.m_applied));
    object.set("generation", static_cast<Poco::UInt64>(page.m_generation));
    object.set("instances", toArray(page.m_instances));
    object.set("templates", toArray(page.m_templates));
    object.set("deployments", toArray(page.m_deployments));
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

Core::Result<StatusPage> parseStatusPage(const std::string &text, const std::string &peer)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumNesting);
        const Object::Ptr object = parser.parse(text).extract<Object::Ptr>();
        StatusPage page;
        page.m_entry = object->getValue<std::string>("entry");
        page.m_ready = object->getValue<bool>("ready");
        page.m_logUp = object->getValue<bool>("log_up");
        page.m_applied = offsetIn(*object, "applied");
        page.m_generation = offsetIn(*object, "generation");
        const Array::Ptr instances = object->getArray("instances");
        for (unsigned index = 0; instances && index < instances->size(); ++index) {
            page.m_instances.push_back(parseInstance(*instances->getObject(index)));
        }
        const Array::Ptr templates = object->getArray("templates");
        for (unsigned index = 0; templates && index < templates->size(); ++index) {
            page.m_templates.push_back(parseTemplate(*templates->getObject(index)));
        }
        const Array::Ptr deployments = object->getArray("deployments");
        for (unsigned index = 0; deployments && index < deployments->size(); ++index) {
            page.m_deployments.push_back(parseDeployment(*deployments->getObject(index)));
        }
        return page;
    } catch (const std::exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read status", peer, exception.what());
    }
}

StatusPage combineStatusPages(std::span<const StatusPage> pages)
{
    StatusPage combined;
    std::map<std::string, InstanceStatus> instances;
    std::map<std::pair<std::string, std::string>, DeploymentStatus> deployments;
    for (const StatusPage &page : pages) {
        combined.m_logUp = combined.m_logUp || page.m_logUp;
        combined.m_ready = combined.m_ready || page.m_ready;
        if (page.m_applied >= combined.m_applied) {
            combined.m_applied = page.m_applied;
            combined.m_generation = page.m_generation;
            combined.m_templates = page.m_templates;
        }
        for (const InstanceStatus &status : page.m_instances) {
            combine(instances.emplace(status.m_id, status).first->second, status);
        }
        for (const DeploymentStatus &status : page.m_deployments) {
            combine(deployments.emplace(std::pair(status.m_service, status.m_digest), status).first->second, status);
        }
    }
    for (const std::pair<const std::string, InstanceStatus> &entry : instances) {
        combined.m_instances.push_back(entry.second);
    }
    for (const std::pair<const std::pair<std::string, std::string>, DeploymentStatus> &entry : deployments) {
        combined.m_deployments.push_back(entry.second);
    }
    return combined;
}

std::vector<std::string> instancesBehind(const StatusPage &page, Offset revision)
{
    std::vector<std::string> behind;
    for (const InstanceStatus &status : page.m_instances) {
        if (!status.m_leaving && status.m_applied < revision) {
            behind.push_back(status.m_id);
        }
    }
    return behind;
}

}
