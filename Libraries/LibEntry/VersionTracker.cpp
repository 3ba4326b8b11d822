/// @file Tracking of rollouts.

#include "LibEntry/VersionTracker.h"

namespace Entry {

VersionTracker::VersionTracker(const Router &router)
    : m_router(router)
{
}

void VersionTracker::onState(const Control::ControlState &state)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (state.m_applied <= m_applied) {
        return;
    }
    m_applied = state.m_applied;
    std::map<AccountKey, AccountRecord> accounts;
    for (const std::pair<const std::string, Control::AcceptedTemplate> &entry : state.m_templates) {
        const Control::Template &accepted = entry.second.m_template;
        for (const Control::AccountParameters &parameters : accepted.m_accounts) {
            const AccountKey key{accepted.m_name, parameters.m_account};
            const std::map<AccountKey, AccountRecord>::const_iterator it = m_accounts.find(key);
            AccountRecord record;
            record.m_switched = it != m_accounts.end() && it->second.m_switched && it->second.m_parameters.m_digest == parameters.m_digest;
            record.m_service = accepted.m_service;
            record.m_parameters = parameters;
            for (const Control::EarlierVersion &earlier : entry.second.m_earlier) {
                if (earlier.m_account == parameters.m_account) {
                    record.m_earlierVersions.push_back(earlier);
                }
            }
            accounts.emplace(key, std::move(record));
        }
    }
    m_accounts = std::move(accounts);
}

Core::Result<ServedVersion> VersionTracker::selectVersion(const std::string &templateName, const std::string &account)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<AccountKey, AccountRecord>::iterator it = m_accounts.find(AccountKey{templateName, account});
    if (it == m_accounts.end()) {
        return Core::makeError(Core::ErrorCode::NotFound, "find template", templateName, "no template in force names the account " + account);
    }
    AccountRecord &record = it->second;
    Routing::RolloutState rollout;
    rollout.m_wantedDigest = record.m_parameters.m_digest;
    rollout.m_wantedReplicas = record.m_parameters.m_replicas;
    std::string previousVersion;
    rollout.m_switched = record.m_switched;
    m_router.readTable([&rollout, &record, &previousVersion](const Routing::EndpointTable &table) {
        const Core::Instant now = Core::Clock::now();
        rollout.m_wantedServing = table.countAvailable(Routing::GroupKey{record.m_service, rollout.m_wantedDigest}, now);
        rollout.m_watched = table.countServiceAvailable(record.m_service, now);
        for (const Control::EarlierVersion &earlier : record.m_earlierVersions) {
            rollout.m_previousServing = table.countAvailable(Routing::GroupKey{record.m_service, earlier.m_digest}, now);
            if (rollout.m_previousServing > 0) {
                rollout.m_previousDigest = earlier.m_digest;
                previousVersion = earlier.m_version;
                break;
            }
        }
    });
    const std::string digest = Routing::chooseVersion(rollout);
    const bool wanted = digest == record.m_parameters.m_digest;
    record.m_switched = record.m_switched || wanted;
    return ServedVersion{record.m_service, digest, wanted ? record.m_parameters.m_version : previousVersion, record.m_parameters.m_weight};
}

std::vector<std::string> VersionTracker::previousDigests(const std::string &service) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> digests;
    for (const std::pair<const AccountKey, AccountRecord> &entry : m_accounts) {
        if (entry.second.m_service != service) {
            continue;
        }
        for (const Control::EarlierVersion &earlier : entry.second.m_earlierVersions) {
            digests.push_back(earlier.m_digest);
        }
    }
    return digests;
}

}
