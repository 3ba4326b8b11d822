/// @file What an entry shows operators of the configuration in force: its page /status, and how pages of several entries combine.
#pragma once

#include "LibControl/ControlState.h"
#include "LibProtocol/Report.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace Control {

/// One process of the system.
struct InstanceStatus
{
    std::string m_id;
    std::string m_role; ///< "entry" or "agent".
    std::string m_service;
    std::string m_region;
    std::string m_failureDomain;
    std::string m_admin; ///< Address of its administrative page; empty if unknown.
    bool m_leaving = false;
    Offset m_applied = 0; ///< Revision in force there, as far as this entry knows; 0 if it has not heard.

    bool operator==(const InstanceStatus &) const = default;
};

struct TemplateStatus
{
    std::string m_name;
    std::string m_service;
    Offset m_revision = 0;
    std::string m_operator;

    bool operator==(const TemplateStatus &) const = default;
};

/// Replicas of one version in one place.
struct PlaceStatus
{
    std::string m_failureDomain;
    std::uint32_t m_wanted = 0;
    std::uint32_t m_serving = 0;

    bool operator==(const PlaceStatus &) const = default;
};

struct DeploymentStatus
{
    std::string m_service;
    std::string m_model;
    std::string m_version;
    std::string m_digest;
    Offset m_plan = 0; ///< Offset of the plan in force.
    std::vector<PlaceStatus> m_places; ///< Sorted by failure domain.
    std::uint64_t m_chunksHeld = 0; ///< Over all replicas that are still to serve.
    std::uint64_t m_chunksTotal = 0;

    bool operator==(const DeploymentStatus &) const = default;

    std::uint32_t wanted() const;
    std::uint32_t serving() const;
};

struct StatusPage
{
    std::string m_entry; ///< Whose page it is.
    bool m_ready = false;
    bool m_logUp = false;
    Offset m_applied = 0;
    std::uint64_t m_generation = 0;
    std::vector<InstanceStatus> m_instances; ///< Sorted by id.
    std::vector<TemplateStatus> m_templates; ///< Sorted by name.
    std::vector<DeploymentStatus> m_deployments; ///< Sorted by service and digest.

    bool operator==(const StatusPage &) const = default;
};

/// What an entry knows; reports of agents that it does not watch are missing.
struct StatusInputs
{
    std::string m_entry;
    bool m_logUp = false;
    const ControlState *m_state = nullptr; ///< Never null.
    std::vector<Protocol::Member> m_members;
    std::map<std::string, Offset> m_applied; ///< By instance.
    std::map<std::string, Protocol::AgentReport> m_reports; ///< Newest, by instance.
};

StatusPage makeStatusPage(const StatusInputs &inputs);

std::string encodeStatusPage(const StatusPage &page);
/// Fails with Corrupt.
Core::Result<StatusPage> parseStatusPage(const std::string &text, const std::string &peer);

/// The most that any entry knows.
StatusPage combineStatusPages(std::span<const StatusPage> pages);

/// Live instances where @p revision is not in force, by id.
std::vector<std::string> instancesBehind(const StatusPage &page, Offset revision);

}
