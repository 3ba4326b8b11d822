/// @file Implementation of the membership table.

#include "LibGossip/Membership.h"

#include <algorithm>

namespace Gossip {

Membership::Membership(std::string self, MembershipSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

bool Membership::merge(const Member &member, bool isDirect, Core::Instant now)
{
    if (member.m_id == m_self || member.m_id.empty()) {
        return false;
    }
    const std::map<std::string, KnownMember>::iterator known = m_knownMembers.find(member.m_id);
    if (known == m_knownMembers.end()) {
        insertOrReplace(member, now);
        return true;
    }
    KnownMember &entry = known->second;
    if (entry.m_member.m_incarnation != member.m_incarnation) {
        // A report by others of an earlier incarnation must not replace one that sent a heartbeat recently.
        const bool isSilent = now - entry.m_lastHeardAt > m_settings.m_replacementTimeout;
        if (!isDirect && !isSilent) {
            return false;
        }
        m_byIncarnation.erase(entry.m_member.m_incarnation);
        insertOrReplace(member, now);
        return true;
    }
    const std::uint64_t heartbeatCount = std::max(member.m_heartbeatCount, entry.m_member.m_heartbeatCount);
    if (member.m_heartbeatCount > entry.m_member.m_heartbeatCount) {
        entry.m_member.m_requestsPerSecond = member.m_requestsPerSecond;
        entry.m_lastHeardAt = now;
    }
    // A digest may have advanced the heartbeat count already. Only the revision shows whether a description is newer.
    const bool isChanged = member.m_revision > entry.m_member.m_revision;
    if (isChanged) {
        const bool wasLeaving = entry.m_member.m_isLeaving;
        entry.m_member = member;
        entry.m_member.m_isLeaving = wasLeaving || member.m_isLeaving;
    }
    entry.m_member.m_heartbeatCount = heartbeatCount;
    return isChanged;
}

void Membership::insertOrReplace(const Member &member, Core::Instant now)
{
    KnownMember &known = m_knownMembers[member.m_id];
    known = KnownMember{member, now};
    m_byIncarnation[member.m_incarnation] = &known;
}

Membership::KnownMember *Membership::find(std::uint32_t incarnation)
{
    const std::unordered_map<std::uint32_t, KnownMember *>::iterator found = m_byIncarnation.find(incarnation);
    return found == m_byIncarnation.end() ? nullptr : found->second;
}

std::vector<std::uint32_t> Membership::mergeDigests(const std::vector<HeartbeatDigest> &digests, Core::Instant now)
{
    std::vector<std::uint32_t> missing;
    for (const HeartbeatDigest &digest : digests) {
        KnownMember *known = find(digest.m_incarnation);
        if (!known || digest.m_revision > known->m_member.m_revision) {
            missing.push_back(digest.m_incarnation);
        }
        if (known && digest.m_heartbeatCount > known->m_member.m_heartbeatCount) {
            known->m_member.m_heartbeatCount = digest.m_heartbeatCount;
            known->m_member.m_requestsPerSecond = digest.m_requestsPerSecond;
            known->m_lastHeardAt = now;
        }
    }
    return missing;
}

std::vector<Member> Membership::find(const std::vector<std::uint32_t> &incarnations) const
{
    std::vector<Member> members;
    for (const std::uint32_t incarnation : incarnations) {
        const std::unordered_map<std::uint32_t, KnownMember *>::const_iterator known = m_byIncarnation.find(incarnation);
        if (known != m_byIncarnation.end()) {
            members.push_back(known->second->m_member);
        }
    }
    return members;
}

void Membership::markAlive(std::uint32_t incarnation, Core::Instant now)
{
    KnownMember *known = find(incarnation);
    if (known) {
        known->m_lastHeardAt = now;
    }
}

bool Membership::contains(std::uint32_t incarnation) const
{
    return m_byIncarnation.contains(incarnation);
}

Membership::HeartbeatTimeouts Membership::heartbeatTimeouts() const
{
    const std::int64_t entries = std::count_if(m_knownMembers.begin(), m_knownMembers.end(), [](const std::pair<const std::string, KnownMember> &known) {
        return known.second.m_member.m_role == Role::Entry;
    });
    const std::int64_t agents = static_cast<std::int64_t>(m_knownMembers.size()) - entries;
    return HeartbeatTimeouts{std::max(m_settings.m_heartbeatTimeout, m_settings.m_heartbeatTimeoutPerMember * entries),
                             std::max(m_settings.m_heartbeatTimeout, m_settings.m_heartbeatTimeoutPerMember * agents)};
}

std::vector<const Member *> Membership::liveMembers(Core::Instant now) const
{
    const HeartbeatTimeouts timeouts = heartbeatTimeouts();
    std::vector<const Member *> members;
    members.reserve(m_knownMembers.size());
    for (const std::pair<const std::string, KnownMember> &entry : m_knownMembers) {
        const Core::Duration timeout = entry.second.m_member.m_role == Role::Entry ? timeouts.m_entry : timeouts.m_agent;
        if (now - entry.second.m_lastHeardAt <= timeout) {
            members.push_back(&entry.second.m_member);
        }
    }
    return members;
}

std::size_t Membership::countAlive(Core::Instant now) const
{
    return liveMembers(now).size();
}

std::vector<Member> Membership::alive(Core::Instant now) const
{
    std::vector<Member> members;
    for (const Member *member : liveMembers(now)) {
        members.push_back(*member);
    }
    return members;
}

std::vector<Member> Membership::alive(Role role, Core::Instant now) const
{
    std::vector<Member> members;
    for (const Member *member : liveMembers(now)) {
        if (member->m_role == role) {
            members.push_back(*member);
        }
    }
    return members;
}

std::vector<Member> Membership::known(Role role) const
{
    std::vector<Member> members;
    for (const std::pair<const std::string, KnownMember> &entry : m_knownMembers) {
        if (entry.second.m_member.m_role == role) {
            members.push_back(entry.second.m_member);
        }
    }
    return members;
}

std::vector<Member> Membership::sample(std::size_t count, Core::Instant now, Core::Random &random) const
{
    std::vector<const Member *> chosen = liveMembers(now);
    Core::keepRandom(chosen, count, random);
    std::vector<Member> members;
    for (const Member *member : chosen) {
        members.push_back(*member);
    }
    return members;
}

std::vector<HeartbeatDigest> Membership::sampleDigests(std::size_t count, std::optional<Role> role, Core::Instant now, Core::Random &random) const
{
    std::vector<const Member *> chosen = liveMembers(now);
    std::erase_if(chosen, [role](const Member *member) { return role && member->m_role != *role; });
    Core::keepRandom(chosen, count, random);
    std::vector<HeartbeatDigest> digests;
    for (const Member *member : chosen) {
        digests.push_back(HeartbeatDigest{member->m_incarnation, member->m_heartbeatCount, member->m_revision, member->m_requestsPerSecond});
    }
    return digests;
}

void Membership::removeExpired(Core::Instant now)
{
    std::erase_if(m_knownMembers, [this, now](const std::pair<const std::string, KnownMember> &entry) {
        const bool isExpired = now - entry.second.m_lastHeardAt > m_settings.m_removalTimeout;
        if (isExpired) {
            m_byIncarnation.erase(entry.second.m_member.m_incarnation);
        }
        return isExpired;
    });
}

}
