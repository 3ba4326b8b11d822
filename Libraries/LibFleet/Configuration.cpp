/// @file Implementation of the configuration index.

#include "LibFleet/Configuration.h"

#include <algorithm>
#include <set>

namespace Fleet {

namespace {

bool leadsTo(const Route &route, const Service &service)
{
    return std::any_of(route.m_services.begin(), route.m_services.end(), [&service](const ServiceShare &share) { return share.m_service == service.m_name; });
}

}

void deriveRanks(Configuration &configuration)
{
    for (Service &service : configuration.m_services) {
        std::set<std::uint32_t> ranks;
        for (const Route &route : configuration.m_routes) {
            if (leadsTo(route, service)) {
                ranks.insert(route.m_priority);
            }
        }
        service.m_mostUrgentRank = ranks.size() > 1 ? std::optional<std::uint32_t>(*ranks.begin()) : std::nullopt;
    }
}

void deriveObjectives(Configuration &configuration)
{
    for (Service &service : configuration.m_services) {
        std::set<std::uint32_t> goals;
        for (const Route &route : configuration.m_routes) {
            if (leadsTo(route, service) && route.m_goalMilliseconds > 0) {
                goals.insert(route.m_goalMilliseconds);
            }
        }
        service.m_shortestGoalMilliseconds = goals.empty() ? 0 : *goals.begin();
        service.m_hasLongObjectives = !goals.empty() && *goals.rbegin() >= LongObjectiveRatio * *goals.begin();
    }
}

ConfigurationIndex::ConfigurationIndex(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const UnreadableRoute &route : m_configuration.m_unreadableRoutes) {
        m_prefixesByHost[route.m_host].push_back(Prefix{route.m_pathPrefix, nullptr});
    }
    for (const Route &route : m_configuration.m_routes) {
        m_prefixesByHost[route.m_host].push_back(Prefix{route.m_pathPrefix, &route});
    }
    for (std::pair<const std::string, std::vector<Prefix>> &entry : m_prefixesByHost) {
        std::stable_sort(
            entry.second.begin(), entry.second.end(), [](const Prefix &left, const Prefix &right) { return left.m_path.size() > right.m_path.size(); });
    }
    for (const ClientAccount &account : m_configuration.m_accounts) {
        for (const std::string &key : account.m_keys) {
            m_accountsByKey[key] = &account;
        }
    }
    for (const Service &service : m_configuration.m_services) {
        m_servicesByName[service.m_name] = &service;
    }
}

const Route *ConfigurationIndex::route(const std::string &host, const std::string &path) const
{
    const std::map<std::string, std::vector<Prefix>>::const_iterator prefixes = m_prefixesByHost.find(host);
    if (prefixes == m_prefixesByHost.end()) {
        return nullptr;
    }
    for (const Prefix &prefix : prefixes->second) {
        if (path.starts_with(prefix.m_path)) {
            return prefix.m_route;
        }
    }
    return nullptr;
}

const ClientAccount *ConfigurationIndex::accountOfKey(const std::string &key) const
{
    const std::map<std::string, const ClientAccount *>::const_iterator account = m_accountsByKey.find(key);
    return account == m_accountsByKey.end() ? nullptr : account->second;
}

const Service *ConfigurationIndex::service(const std::string &name) const
{
    const std::map<std::string, const Service *>::const_iterator service = m_servicesByName.find(name);
    return service == m_servicesByName.end() ? nullptr : service->second;
}

const Service *ConfigurationIndex::origin() const
{
    for (const Service &service : m_configuration.m_services) {
        if (service.m_origin) {
            return &service;
        }
    }
    return nullptr;
}

}
