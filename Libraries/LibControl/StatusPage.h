/// @file The status that operators' tools read from the /status pages of entries, and how pages of several entries are combined.
#pragma once

#include "LibControl/ControlState.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Control {

/// Status of one process of the system.
struct InstanceStatus
{
    std::string m_id;
    std::string m_role; ///< "entry" or "agent".
    std::string m_failureDomain;
    bool m_leaving = false;
    Offset m_applied = 0; ///< Revision in force at the process, as far as the entry knows; 0 if unknown.

    bool operator==(const InstanceStatus &) const = default;
};

/// One version and the instances that are planned to hold it.
struct DeploymentStatus
{
    std::string m_service;
    std::string m_model;
    std::string m_version;
    std::string m_digest;
    Offset m_plan = 0; ///< Offset of the plan in force.
    std::uint32_t m_wanted = 0; ///< Number of replicas.
    std::set<std::string> m_serving; ///< Instances known to serve it.
    std::set<std::string> m_waiting; ///< Instances known not to serve it yet.

    bool operator==(const DeploymentStatus &) const = default;
};

/// Progress of an instance in receiving the weights of one digest.
struct TransferStatus
{
    std::string m_instance;
    std::string m_digest;
    std::uint64_t m_held = 0; ///< In chunks, like m_total.
    std::uint64_t m_total = 0;

    bool operator==(const TransferStatus &) const = default;
};

struct StatusPage
{
    std::string m_entry; ///< Id of the entry that made the page; empty if combined.
    Offset m_applied = 0;
    std::vector<InstanceStatus> m_instances; ///< Sorted by id.
    std::vector<DeploymentStatus> m_deployments; ///< Sorted by service and digest.
    std::vector<TransferStatus> m_transfers;

    bool operator==(const StatusPage &) const = default;
};

/// Parses the JSON text of one page; docs/PROCESSES.md describes its fields. Fails with Corrupt.
Core::Result<StatusPage> parseStatusPage(const std::string &text, const std::string &peer);

/// Combines pages into the newest status that any entry knows. An entry receives reports of some instances only, so a single page is incomplete.
StatusPage combineStatusPages(std::span<const StatusPage> pages);

/// Returns the ids of the live instances where @p revision is not in force.
std::vector<std::string> instancesBehind(const StatusPage &page, Offset revision);

/// Replicas of one deployment in one failure domain.
struct FailureDomainStatus
{
    std::uint32_t m_wanted = 0; ///< Number of replicas whose instance is known.
    std::uint32_t m_serving = 0;

    bool operator==(const FailureDomainStatus &) const = default;
};

/// Returns the replicas of a deployment by failure domain.
std::map<std::string, FailureDomainStatus> statusByFailureDomain(const StatusPage &page, const DeploymentStatus &deployment);

/// Returns the completed share of a deployment, from 0 to 1. Counts the replicas that serve and, for the others, the share of the
/// weights that they hold.
double deploymentProgress(const StatusPage &page, const DeploymentStatus &deployment);

}
