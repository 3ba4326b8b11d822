/// @file What operators' tools read from the entries' pages /status, and how pages of several entries combine.
#pragma once

#include "LibControl/ControlState.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Control {

/// One process of the system.
struct InstanceStatus
{
    std::string m_id;
    std::string m_role; ///< "entry" or "agent".
    std::string m_failureDomain;
    bool m_leaving = false;
    Offset m_applied = 0; ///< Revision in force there, as far as the entry knows; 0 if it has not heard.

    bool operator==(const InstanceStatus &) const = default;
};

/// One version and the instances that are to hold it.
struct DeploymentStatus
{
    std::string m_service;
    std::string m_model;
    std::string m_version;
    std::string m_digest;
    Offset m_plan = 0; ///< Offset of the plan in force.
    std::uint32_t m_wanted = 0; ///< Replicas.
    std::set<std::string> m_serving; ///< Instances known to serve it.
    std::set<std::string> m_waiting; ///< Instances known not to serve it yet.

    bool operator==(const DeploymentStatus &) const = default;
};

/// How much of some weights an instance holds.
struct TransferStatus
{
    std::string m_instance;
    std::string m_digest;
    std::uint64_t m_held = 0; ///< Chunks.
    std::uint64_t m_total = 0;

    bool operator==(const TransferStatus &) const = default;
};

struct StatusPage
{
    std::string m_entry; ///< Whose page it is; empty if combined.
    Offset m_applied = 0;
    std::vector<InstanceStatus> m_instances; ///< Sorted by id.
    std::vector<DeploymentStatus> m_deployments; ///< Sorted by service and digest.
    std::vector<TransferStatus> m_transfers;

    bool operator==(const StatusPage &) const = default;
};

/// Parses the JSON text of one page; docs/PROCESSES.md gives its shape. Fails with Corrupt.
Core::Result<StatusPage> parseStatusPage(const std::string &text, const std::string &peer);

/// The most that any entry knows. An entry hears from some instances only, so one page alone does not tell.
StatusPage combineStatusPages(std::span<const StatusPage> pages);

/// Live instances where @p revision is not in force, by id.
std::vector<std::string> instancesBehind(const StatusPage &page, Offset revision);

/// Replicas of one deployment in one place.
struct FailureDomainStatus
{
    std::uint32_t m_wanted = 0; ///< Those whose instance is known.
    std::uint32_t m_serving = 0;

    bool operator==(const FailureDomainStatus &) const = default;
};

/// By failure domain.
std::map<std::string, FailureDomainStatus> statusByFailureDomain(const StatusPage &page, const DeploymentStatus &deployment);

/// Share of a deployment that is done, from 0 to 1: replicas that serve, and what the others hold of the weights.
double deploymentProgress(const StatusPage &page, const DeploymentStatus &deployment);

}
