/// @file Creation of the status page.

#include "LibEntry/StatusPage.h"

#include <Poco/JSON/Array.h>

namespace Entry {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

Control::Offset appliedOffset(const StatusInput &input, const Protocol::Member &member)
{
    if (member.m_id == input.m_self.m_id) {
        return input.m_state->m_applied;
    }
    Control::Offset applied = 0;
    const std::map<std::string, Control::SubscriberStatus>::const_iterator subscriber = input.m_applied.find(member.m_id);
    if (subscriber != input.m_applied.end() && subscriber->second.m_member.m_incarnation == member.m_incarnation) {
        applied = subscriber->second.m_applied;
    }
    const std::map<std::string, Protocol::AgentReport>::const_iterator report = input.m_reports.find(member.m_id);
    if (report != input.m_reports.end() && report->second.m_member.m_incarnation == member.m_incarnation) {
        applied = std::max(applied, report->second.m_appliedOffset);
    }
    return applied;
}

Object::Ptr describeMember(const StatusInput &input, const Protocol::Member &member)
{
    Object::Ptr object = new Object;
    object->set("id", member.m_id);
    object->set("incarnation", member.m_incarnation);
    object->set("role", std::string(member.m_role == Protocol::Role::Entry ? "entry" : "agent"));
    object->set("service", member.m_service);
    object->set("region", member.m_region);
    object->set("failure_domain", member.m_failureDomain);
    object->set("wire", member.m_wire.toString());
    object->set("callers", member.m_callers.isEmpty() ? std::string() : member.m_callers.toString());
    object->set("admin", member.m_admin.isEmpty() ? std::string() : member.m_admin.toString());
    object->set("leaving", member.m_leaving);
    object->set("applied", appliedOffset(input, member));
    return object;
}

bool serves(const StatusInput &input, const std::string &instance, const std::string &digest)
{
    const std::map<std::string, Protocol::AgentReport>::const_iterator it = input.m_reports.find(instance);
    if (it == input.m_reports.end() || !it->second.m_endpointHealthy) {
        return false;
    }
    const std::vector<Protocol::Attestation> &attestations = it->second.m_attestations;
    return std::any_of(
        attestations.begin(), attestations.end(), [&digest](const Protocol::Attestation &attestation) { return attestation.m_digest == digest; });
}

Object::Ptr describeDeployment(const StatusInput &input, const Control::Deployment &deployment)
{
    Array::Ptr serving = new Array;
    Array::Ptr waiting = new Array;
    std::size_t unwatched = 0;
    for (const Control::PlannedReplica &replica : deployment.m_replicas) {
        if (!input.m_reports.contains(replica.m_instance)) {
            unwatched += 1;
        } else if (serves(input, replica.m_instance, deployment.m_digest)) {
            serving->add(replica.m_instance);
        } else {
            waiting->add(replica.m_instance);
        }
    }
    Object::Ptr object = new Object;
    object->set("model", deployment.m_model);
    object->set("version", deployment.m_version);
    object->set("digest", deployment.m_digest);
    object->set("wanted", deployment.m_replicas.size());
    object->set("serving", serving->size());
    object->set("unwatched", unwatched);
    object->set("serving_instances", serving);
    object->set("waiting_instances", waiting);
    return object;
}

Object::Ptr describeService(const StatusInput &input, const std::string &service, const Control::Plan &plan)
{
    Array::Ptr deployments = new Array;
    for (const Control::Deployment &deployment : plan.m_deployments) {
        deployments->add(describeDeployment(input, deployment));
    }
    Object::Ptr object = new Object;
    object->set("service", service);
    object->set("plan", plan.m_offset);
    object->set("deployments", deployments);
    return object;
}

Array::Ptr describeTransfers(const StatusInput &input)
{
    Array::Ptr transfers = new Array;
    for (const std::pair<const std::string, Protocol::AgentReport> &entry : input.m_reports) {
        for (const Protocol::TransferProgress &progress : entry.second.m_transfers) {
            Object::Ptr object = new Object;
            object->set("instance", entry.first);
            object->set("digest", progress.m_digest);
            object->set("held", progress.m_chunksHeld);
            object->set("total", progress.m_chunksTotal);
            transfers->add(object);
        }
    }
    return transfers;
}

}

Object::Ptr makeStatusPage(const StatusInput &input)
{
    Array::Ptr members = new Array;
    for (const Protocol::Member &member : input.m_members) {
        members->add(describeMember(input, member));
    }
    Array::Ptr services = new Array;
    for (const std::pair<const std::string, Control::Plan> &entry : input.m_state->m_plans) {
        services->add(describeService(input, entry.first, entry.second));
    }
    Object::Ptr page = new Object;
    page->set("entry", input.m_self.m_id);
    page->set("applied", input.m_state->m_applied);
    page->set("members", members);
    page->set("services", services);
    page->set("transfers", describeTransfers(input));
    return page;
}

}
