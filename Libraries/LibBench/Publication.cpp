/// @file Implementation of publishing templates.

#include "LibBench/Publication.h"

#include <atomic>
#include <fstream>
#include <sstream>

namespace Bench {

namespace {

constexpr Core::Duration PublishTimeout{60000};

std::string flowList(const std::vector<std::string> &items)
{
    std::string text = "[";
    for (const std::string &item : items) {
        text += (text.size() == 1 ? "" : ", ") + item;
    }
    return text + "]";
}

}

std::string publicationDocument(const Publication &publication)
{
    std::ostringstream text;
    text << "name: " << publication.m_template << "\nservice: " << publication.m_service << "\nkind: " << (publication.m_isModel ? "model" : "plain") << "\n";
    if (publication.m_isModel) {
        text << "policy: " << publication.m_policy << "\norigin_copies: " << publication.m_originCopies << "\n";
    }
    text << "accounts:\n";
    for (const PublishedAccount &account : publication.m_accounts) {
        text << "  - {account: " << account.m_account;
        if (publication.m_isModel) {
            text << ", model: " << account.m_model << ", version: \"" << account.m_version << "\", replicas: " << account.m_replicas;
        }
        if (!account.m_failureDomains.empty()) {
            text << ", places: " << flowList(account.m_failureDomains);
        }
        text << "}\n";
    }
    return text.str();
}

Core::Result<ToolOutcome> publish(Fleet &fleet, const std::string &programs, const Publication &publication)
{
    static std::atomic<int> number = 0;
    const std::string base = fleet.directory() + "/publication-" + std::to_string(++number);
    std::ofstream(base + ".yaml") << publicationDocument(publication);
    std::vector<std::string> arguments = {
        "publish",
        base + ".yaml",
        "--operator",
        publication.m_operator,
        "--log",
        fleet.layout().m_log.toString(),
        "--origin",
        fleet.layout().m_origin.toString(),
        "--output",
        "json",
    };
    if (publication.m_basedOn) {
        arguments.insert(arguments.end(), {"--based-on", std::to_string(*publication.m_basedOn)});
    }
    return runTool(programs + "/oriolerail", arguments, base + ".out", PublishTimeout);
}

}
