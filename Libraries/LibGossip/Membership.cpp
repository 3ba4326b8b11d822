/// @file Implementation of the table of members.

#include "LibGossip/Membership.h"

#include <algorithm>

namespace Gossip {

Membership::Membership(std::string self, MembershipSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

bool Membership::heard(const Member &member, bool isFirstHand, Core::Instant now)
{
    if (member.m_id == m_self || member.m_id.empty()) {
        return false;
    }
    const std::map<std::string, Known>::iterator known = m_known.find(member.m_id);
    if (known == m_known.end()) {
        remember(member, now);
        return true;
    }
    Known &entry = known->second;
    if (entry.m_member.m_incarnation != member.m_incarnation) {
        // Hearsay of an incarnation that is no more must not replace the one that just spoke.
        const bool isSilent = now - entry.m_heardAt > m_settings.m_replaceAfter;
        if (!isFirstHand && !isSilent) {
            return false;
        }
        m_byIncarnation.erase(entry.m_member.m_incarnation);
        remember(member, now);
        return true;
    }
    const std::uint64_t beat = std::max(member.m_beat, entry.m_member.m_beat);
    if (member.m_beat > entry.m_member.m_beat) {
        entry.m_member.m_requestsPerSecond = member.m_requestsPerSecond;
        entry.m_heardAt = now;
    }
    // The count may have come ahead by a note; a description is old only if its revision is.
    const bool isChanged = member.m_revision > entry.m_member.m_revision;
    if (isChanged) {
        const bool wasLeaving = entry.m_member.m_isLeaving;
        entry.m_member = member;
        entry.m_member.m_isLeaving = wasLeaving || member.m_isLeaving;
    }
    entry.m_member.m_beat = beat;
    return isChanged;
}

void Membership::remember(const Member &member, Core::Instant now)
{
    Known &known = m_known[member.m_id];
    known = Known{member, now};
    m_byIncarnation[member.m_incarnation] = &known;
}

Membership::Known *Membership::find(std::uint32_t incarnation)
{
    const std::unordered_map<std::uint32_t, Known *>::iterator found = m_byIncarnation.find(incarnation);
    return found == m_byIncarnation.end() ? nullptr : found->second;
}

std::vector<std::uint32_t> Membership::heardBeats(const std::vector<BeatNote> &beats, Core::Instant now)
{
    std::vector<std::uint32_t> lacking;
    for (const BeatNote &note : beats) {
        Known *known = find(note.m_incarnation);
        if (!known || note.m_revision > known->m_member.m_revision) {
            lacking.push_back(note.m_incarnation);
        }
        if (known && note.m_beat > known->m_member.m_beat) {
            known->m_member.m_beat = note.m_beat;
            known->m_member.m_requestsPerSecond = note.m_requestsPerSecond;
            known->m_heardAt = now;
        }
    }
    return lacking;
}

std::vector<Member> Membership::find(const std::vector<std::uint32_t> &incarnations) const
{
    std::vector<Member> members;
    for (const std::uint32_t incarnation : incarnations) {
        const std::unordered_map<std::uint32_t, Known *>::const_iterator known = m_byIncarnation.find(incarnation);
        if (known != m_byIncarnation.end()) {
            members.push_back(known->second->m_member);
        }
    }
    return members;
}

void Membership::heardAlive(std::uint32_t incarnation, Core::Instant now)
{
    Known *known = find(incarnation);
    if (known) {
        known->m_heardAt = now;
    }
}

bool Membership::knows(std::uint32_t incarnation) const
{
    return m_byIncarnation.contains(incarnation);
}

Membership::SilenceLimits Membership::silenceLimits() const
{
    const std::int64_t entries = std::count_if(
        m_known.begin(), m_known.end(), [](const std::pair<const std::string, Known> &known) { return known.second.m_member.m_role == Role::Entry; });
    const std::int64_t agents = static_cast<std::int64_t>(m_known.size()) - entries;
    return SilenceLimits{std::max(m_settings.m_silenceLimit, m_settings.m_silencePerMember * entries),
                         std::max(m_settings.m_silenceLimit, m_settings.m_silencePerMember * agents)};
}

std::vector<const Member *> Membership::livePointers(Core::Instant now) const
{
    const SilenceLimits limits = silenceLimits();
    std::vector<const Member *> members;
    members.reserve(m_known.size());
    for (const std::pair<const std::string, Known> &entry : m_known) {
        const Core::Duration limit = entry.second.m_member.m_role == Role::Entry ? limits.m_entry : limits.m_agent;
        if (now - entry.second.m_heardAt <= limit) {
            members.push_back(&entry.second.m_member);
        }
    }
    return members;
}

std::size_t Membership::countAlive(Core::Instant now) const
{
    return livePointers(now).size();
}

std::vector<Member> Membership::alive(Core::Instant now) const
{
    std::vector<Member> members;
    for (const Member *member : livePointers(now)) {
        members.push_back(*member);
    }
    return members;
}

std::vector<Member> Membership::alive(Role role, Core::Instant now) const
{
    std::vector<Member> members;
    for (const Member *member : livePointers(now)) {
        if (member->m_role == role) {
            members.push_back(*member);
        }
    }
    return members;
}

std::vector<Member> Membership::sample(std::size_t count, Core::Instant now, Core::Random &random) const
{
    std::vector<const Member *> chosen = livePointers(now);
    keepRandom(chosen, count, random);
    std::vector<Member> members;
    for (const Member *member : chosen) {
        members.push_back(*member);
    }
    return members;
}

std::vector<BeatNote> Membership::sampleBeats(std::size_t count, std::optional<Role> role, Core::Instant now, Core::Random &random) const
{
    std::vector<const Member *> chosen = livePointers(now);
    std::erase_if(chosen, [role](const Member *member) { return role && member->m_role != *role; });
    keepRandom(chosen, count, random);
    std::vector<BeatNote> beats;
    for (const Member *member : chosen) {
        beats.push_back(BeatNote{member->m_incarnation, member->m_beat, member->m_revision, member->m_requestsPerSecond});
    }
    return beats;
}

void Membership::forget(Core::Instant now)
{
    std::erase_if(m_known, [this, now](const std::pair<const std::string, Known> &entry) {
        const bool isOld = now - entry.second.m_heardAt > m_settings.m_forgetAfter;
        if (isOld) {
            m_byIncarnation.erase(entry.second.m_member.m_incarnation);
        }
        return isOld;
    });
}

}
