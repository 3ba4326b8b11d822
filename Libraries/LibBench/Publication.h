/// @file Publishes templates in a test fleet through the operators' command-line tool.
#pragma once

#include "LibBench/Fleet.h"
#include "LibBench/Tool.h"

#include <optional>
#include <string>
#include <vector>

namespace Bench {

/// Parameters of one client account in a template.
struct PublishedAccount
{
    std::string m_account;
    std::string m_model;
    std::string m_version;
    int m_replicas = 1;
    std::vector<std::string> m_failureDomains; ///< Failure domains of the replicas; empty for all.

    bool operator==(const PublishedAccount &) const = default;
};

/// A template to be published.
struct Publication
{
    std::string m_template = "drafts";
    std::string m_service = "drafting-models";
    bool m_isModel = true;
    std::string m_policy = "bytes";
    double m_originCopies = 1;
    std::vector<PublishedAccount> m_accounts;
    std::string m_operator = "technician";
    std::optional<std::uint64_t> m_basedOn; ///< Revision to base the publication on; if absent, the one in force.

    bool operator==(const Publication &) const = default;
};

/// Returns the template document in YAML.
std::string publicationDocument(const Publication &publication);

/// Publishes a template and returns the outcome of the tool: exit code 0 if accepted, 1 if refused.
Core::Result<ToolOutcome> publish(Fleet &fleet, const std::string &programs, const Publication &publication);

}
