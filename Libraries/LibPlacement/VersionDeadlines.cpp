/// @file Implementation of the version deadlines.

#include "LibPlacement/VersionDeadlines.h"

#include <algorithm>

namespace Placement {

VersionDeadlines::VersionDeadlines(Core::Duration bound)
    : m_bound(bound)
{
}

void VersionDeadlines::recordDeclared(const std::string &model, std::uint64_t version, Core::Duration age, Core::Instant now)
{
    const Core::Instant acceptedAt = now - age;
    DeclarationTime &known = m_declared[model].try_emplace(version, DeclarationTime{acceptedAt, true}).first->second;
    known.m_acceptedAt = known.m_isAgeKnown ? std::min(known.m_acceptedAt, acceptedAt) : acceptedAt;
    known.m_isAgeKnown = true;
    removeOldest(model);
}

void VersionDeadlines::recordFound(const std::string &model, std::uint64_t version, Core::Instant now)
{
    m_declared[model].try_emplace(version, DeclarationTime{now - m_bound, false});
    removeOldest(model);
}

void VersionDeadlines::removeOldest(const std::string &model)
{
    constexpr std::size_t keptVersions = 8; // Many more versions than can be before their deadlines at the same time.
    std::map<std::uint64_t, DeclarationTime> &versions = m_declared[model];
    while (versions.size() > keptVersions) {
        versions.erase(versions.begin());
    }
}

std::optional<std::uint64_t> VersionDeadlines::requiredVersion(const std::string &model, Core::Instant now) const
{
    const std::map<std::string, std::map<std::uint64_t, DeclarationTime>>::const_iterator versions = m_declared.find(model);
    std::optional<std::uint64_t> newest;
    if (versions == m_declared.end()) {
        return newest;
    }
    for (const std::pair<const std::uint64_t, DeclarationTime> &entry : versions->second) {
        if (now - entry.second.m_acceptedAt >= m_bound) {
            newest = entry.first;
        }
    }
    return newest;
}

std::optional<Core::Duration> VersionDeadlines::knownAge(const std::string &model, std::uint64_t version, Core::Instant now) const
{
    const std::map<std::string, std::map<std::uint64_t, DeclarationTime>>::const_iterator versions = m_declared.find(model);
    if (versions == m_declared.end()) {
        return std::nullopt;
    }
    const std::map<std::uint64_t, DeclarationTime>::const_iterator known = versions->second.find(version);
    if (known == versions->second.end() || !known->second.m_isAgeKnown) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<Core::Duration>(now - known->second.m_acceptedAt);
}

std::vector<std::pair<std::uint64_t, Core::Duration>>
VersionDeadlines::recentVersions(const std::string &model, Core::Duration horizon, Core::Instant now) const
{
    std::vector<std::pair<std::uint64_t, Core::Duration>> versions;
    const std::map<std::string, std::map<std::uint64_t, DeclarationTime>>::const_iterator declared = m_declared.find(model);
    if (declared == m_declared.end()) {
        return versions;
    }
    for (const std::pair<const std::uint64_t, DeclarationTime> &entry : declared->second) {
        const Core::Duration age = std::chrono::duration_cast<Core::Duration>(now - entry.second.m_acceptedAt);
        if (entry.second.m_isAgeKnown && age < horizon) {
            versions.emplace_back(entry.first, age);
        }
    }
    return versions;
}

std::optional<Core::Duration> VersionDeadlines::oldestAgeAfter(const std::string &model, std::uint64_t loaded, Core::Instant now) const
{
    const std::map<std::string, std::map<std::uint64_t, DeclarationTime>>::const_iterator versions = m_declared.find(model);
    std::optional<Core::Duration> oldest;
    if (versions == m_declared.end()) {
        return oldest;
    }
    for (std::map<std::uint64_t, DeclarationTime>::const_iterator it = versions->second.upper_bound(loaded); it != versions->second.end(); ++it) {
        const Core::Duration age = std::chrono::duration_cast<Core::Duration>(now - it->second.m_acceptedAt);
        if (it->second.m_isAgeKnown && (!oldest || age > *oldest)) {
            oldest = age;
        }
    }
    return oldest;
}

}
