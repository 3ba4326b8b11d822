/// @file Implementation of reading and combining status pages.

#include "LibControl/StatusPage.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <functional>

namespace Control {

namespace {

constexpr int MaximumNesting = 16;

using Object = Poco::JSON::Object;
using Array = Poco::JSON::Array;

Offset readOffset(const Object &object, const std::string &field)
{
    return static_cast<Offset>(object.getValue<Poco::UInt64>(field));
}

/// Calls @p read for each object of a list. An absent list counts as empty.
void forEachObject(const Object &object, const std::string &field, const std::function<void(const Object &)> &read)
{
    const Array::Ptr array = object.getArray(field);
    for (unsigned index = 0; array && index < array->size(); ++index) {
        const Object::Ptr item = array->getObject(index);
        if (!item) {
            throw Poco::DataFormatException("expected an object in " + field);
        }
        read(*item);
    }
}

std::set<std::string> readTexts(const Object &object, const std::string &field)
{
    std::set<std::string> texts;
    const Array::Ptr array = object.getArray(field);
    for (unsigned index = 0; array && index < array->size(); ++index) {
        texts.insert(array->getElement<std::string>(index));
    }
    return texts;
}

InstanceStatus parseInstance(const Object &object)
{
    return InstanceStatus{object.getValue<std::string>("id"),
                          object.getValue<std::string>("role"),
                          object.getValue<std::string>("failure_domain"),
                          object.getValue<bool>("leaving"),
                          readOffset(object, "applied")};
}

DeploymentStatus parseDeployment(const Object &object, const std::string &service, Offset plan)
{
    DeploymentStatus status;
    status.m_service = service;
    status.m_model = object.getValue<std::string>("model");
    status.m_version = object.getValue<std::string>("version");
    status.m_digest = object.getValue<std::string>("digest");
    status.m_plan = plan;
    status.m_wanted = object.getValue<Poco::UInt32>("wanted");
    status.m_serving = readTexts(object, "serving_instances");
    status.m_waiting = readTexts(object, "waiting_instances");
    return status;
}

StatusPage parsePage(const Object &object)
{
    StatusPage page;
    page.m_entry = object.getValue<std::string>("entry");
    page.m_applied = readOffset(object, "applied");
    forEachObject(object, "members", [&page](const Object &item) { page.m_instances.push_back(parseInstance(item)); });
    forEachObject(object, "services", [&page](const Object &item) {
        const std::string service = item.getValue<std::string>("service");
        const Offset plan = readOffset(item, "plan");
        forEachObject(item, "deployments", [&page, &service, plan](const Object &deployment) {
            page.m_deployments.push_back(parseDeployment(deployment, service, plan));
        });
    });
    forEachObject(object, "transfers", [&page](const Object &item) {
        page.m_transfers.push_back(
            TransferStatus{item.getValue<std::string>("instance"), item.getValue<std::string>("digest"), readOffset(item, "held"), readOffset(item, "total")});
    });
    return page;
}

void mergeStatus(InstanceStatus &known, const InstanceStatus &other)
{
    known.m_applied = std::max(known.m_applied, other.m_applied);
    known.m_leaving = known.m_leaving || other.m_leaving;
}

void mergeStatus(DeploymentStatus &known, const DeploymentStatus &other)
{
    known.m_serving.insert(other.m_serving.begin(), other.m_serving.end());
    known.m_waiting.insert(other.m_waiting.begin(), other.m_waiting.end());
    for (const std::string &instance : known.m_serving) {
        known.m_waiting.erase(instance);
    }
}

/// Returns the offset of the newest plan of each service on any page. An entry that is behind shows deployments that no longer exist.
std::map<std::string, Offset> newestPlans(std::span<const StatusPage> pages)
{
    std::map<std::string, Offset> newest;
    for (const StatusPage &page : pages) {
        for (const DeploymentStatus &status : page.m_deployments) {
            Offset &plan = newest[status.m_service];
            plan = std::max(plan, status.m_plan);
        }
    }
    return newest;
}

}

Core::Result<StatusPage> parseStatusPage(const std::string &text, const std::string &peer)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumNesting);
        return parsePage(*parser.parse(text).extract<Object::Ptr>());
    } catch (const std::exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read status", peer, exception.what());
    }
}

StatusPage combineStatusPages(std::span<const StatusPage> pages)
{
    StatusPage combined;
    std::map<std::string, InstanceStatus> instances;
    std::map<std::pair<std::string, std::string>, DeploymentStatus> deployments;
    std::map<std::pair<std::string, std::string>, TransferStatus> transfers;
    const std::map<std::string, Offset> plans = newestPlans(pages);
    for (const StatusPage &page : pages) {
        combined.m_applied = std::max(combined.m_applied, page.m_applied);
        for (const InstanceStatus &status : page.m_instances) {
            mergeStatus(instances.emplace(status.m_id, status).first->second, status);
        }
        for (const DeploymentStatus &status : page.m_deployments) {
            if (status.m_plan == plans.at(status.m_service)) {
                mergeStatus(deployments.emplace(std::pair(status.m_service, status.m_digest), status).first->second, status);
            }
        }
        for (const TransferStatus &status : page.m_transfers) {
            TransferStatus &known = transfers.emplace(std::pair(status.m_instance, status.m_digest), status).first->second;
            known.m_held = std::max(known.m_held, status.m_held);
        }
    }
    for (const std::pair<const std::string, InstanceStatus> &entry : instances) {
        combined.m_instances.push_back(entry.second);
    }
    for (const std::pair<const std::pair<std::string, std::string>, DeploymentStatus> &entry : deployments) {
        combined.m_deployments.push_back(entry.second);
    }
    for (const std::pair<const std::pair<std::string, std::string>, TransferStatus> &entry : transfers) {
        combined.m_transfers.push_back(entry.second);
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

std::map<std::string, FailureDomainStatus> statusByFailureDomain(const StatusPage &page, const DeploymentStatus &deployment)
{
    std::map<std::string, FailureDomainStatus> domains;
    for (const InstanceStatus &status : page.m_instances) {
        const bool isServing = deployment.m_serving.contains(status.m_id);
        if (isServing || deployment.m_waiting.contains(status.m_id)) {
            FailureDomainStatus &domain = domains[status.m_failureDomain];
            ++domain.m_wanted;
            domain.m_serving += isServing ? 1 : 0;
        }
    }
    return domains;
}

double deploymentProgress(const StatusPage &page, const DeploymentStatus &deployment)
{
    if (deployment.m_wanted == 0) {
        return 1;
    }
    double done = static_cast<double>(deployment.m_serving.size());
    for (const TransferStatus &status : page.m_transfers) {
        const bool isAwaited = status.m_digest == deployment.m_digest && deployment.m_waiting.contains(status.m_instance);
        if (isAwaited && status.m_total > 0) {
            done += static_cast<double>(status.m_held) / static_cast<double>(status.m_total);
        }
    }
    return std::min(1.0, done / deployment.m_wanted);
}

}
