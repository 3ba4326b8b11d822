/// @file Publishing of templates in a test fleet, through the operators' own command line.
#pragma once

#include "LibBench/Fleet.h"
#include "LibBench/Tool.h"

#include <optional>
#include <string>
#include <vector>

namespace Bench {

struct PublishedAccount
{
    std::string m_account;
    std::string m_model;
    std::string m_version;
    int m_replicas = 1;
    std::vector<std::string> m_failureDomains; ///< Empty: everywhere.

    bool operator==(const PublishedAccount &) const = default;
};

struct Publication
{
    std::string m_template = "drafts";
    std::string m_service = "drafting-models";
    bool m_isModel = true;
    std::string m_policy = "bytes";
    double m_originCopies = 1;
    std::vector<PublishedAccount> m_accounts;
    std::string m_operator = "technician";
    std::optional<std::uint64_t> m_basedOn; ///< Absent: whatever is in force.

    bool operator==(const Publication &) const = default;
};

/// The template document that the operator would write.
std::string publicationDocument(const Publication &publication);

/// Publishes and returns the tool's outcome: exit code 0 if accepted, 1 if refused.
Core::Result<ToolOutcome> publish(Fleet &fleet, const std::string &programs, const Publication &publication);

}
