/// @file Implementation of reading template documents.

#include "LibControl/TemplateDocument.h"
#include "LibControl/ApplyRecord.h"

#include <set>

namespace Control {

namespace {

constexpr std::size_t MaximumAccounts = 4096;
constexpr std::int64_t MaximumReplicas = 65536;
constexpr std::int64_t MaximumWeight = 1000;

AccountParameters readAccount(Settings::Reader &reader, ServiceKind kind)
{
    AccountParameters parameters;
    parameters.m_account = reader.text("account");
    if (kind == ServiceKind::Model) {
        parameters.m_model = reader.text("model");
        parameters.m_version = reader.text("version");
        parameters.m_replicas = static_cast<std::uint32_t>(reader.integer("replicas", 1, MaximumReplicas));
    }
    if (reader.has("places")) {
        constexpr std::size_t leastPlaces = 1; // An empty list would read as no place, but mean all of them.
        parameters.m_failureDomains = reader.texts("places", leastPlaces);
    }
    parameters.m_weight = static_cast<std::uint32_t>(reader.integer("weight", 1, MaximumWeight, 1));
    return parameters;
}

}

Template readTemplateDocument(Settings::Reader &reader)
{
    Template document;
    document.m_name = reader.text("name");
    document.m_service = reader.text("service");
    document.m_kind = reader.choice("kind", {"model", "plain"}, "model") == "plain" ? ServiceKind::Plain : ServiceKind::Model;
    document.m_policy = reader.choice("policy", {"bytes", "time"}, "bytes") == "time" ? BurstPolicy::Time : BurstPolicy::OriginBytes;
    document.m_originCopies = reader.number("origin_copies", 1, MaximumOriginCopies, 1);
    std::set<std::string> accounts;
    reader.list("accounts", MaximumAccounts, [&document, &accounts](Settings::Reader &item) {
        AccountParameters parameters = readAccount(item, document.m_kind);
        if (!parameters.m_account.empty() && !accounts.insert(parameters.m_account).second) {
            item.addProblem("account", "expected each account once");
        }
        document.m_accounts.push_back(std::move(parameters));
    });
    return document;
}

}
