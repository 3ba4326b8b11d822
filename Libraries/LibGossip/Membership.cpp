/// @file Implementation of the table of members.

#include "LibGossip/Membership.h"

#include <algorithm>

namespace Gossip {

namespace {

bool isSameButCount(const Member &left, Member right)
{
    right.m_beat = left.m_beat;
    right.m_requestsPerSecond = left.m_requestsPerSecond;
    return left == right;
}

}

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
        m_known[member.m_id] = Known{member, now};
        return true;
    }
    Known &entry = known->second;
    if (entry.m_member.m_incarnation != member.m_incarnation) {
        // Hearsay of an incarnation that is no more must not replace the one that just spoke.
        const bool isSilent = now - entry.m_heardAt > m_settings.m_replaceAfter;
        if (!isFirstHand && !isSilent) {
            return false;
        }
        entry = Known{member, now};
        return true;
    }
    if (member.m_beat <= entry.m_member.m_beat) {
        return false;
    }
    const bool wasLeaving = entry.m_member.m_isLeaving;
    const bool isChanged = !isSameButCount(entry.m_member, member);
    entry = Known{member, now};
    entry.m_member.m_isLeaving = wasLeaving || member.m_isLeaving;
    return isChanged;
}

std::vector<Member> Membership::alive(Core::Instant now) const
{
    std::vector<Member> members;
    for (const std::pair<const std::string, Known> &entry : m_known) {
        if (now - entry.second.m_heardAt <= m_settings.m_silenceLimit) {
            members.push_back(entry.second.m_member);
        }
    }
    return members;
}

std::vector<Member> Membership::alive(Role role, Core::Instant now) const
{
    std::vector<Member> members = alive(now);
    std::erase_if(members, [role](const Member &member) { return member.m_role != role; });
    return members;
}

std::vector<Member> Membership::sample(std::size_t count, Core::Instant now, Core::Random &random) const
{
    std::vector<Member> members = alive(now);
    keepRandom(members, count, random);
    return members;
}

void Membership::forget(Core::Instant now)
{
    std::erase_if(m_known, [this, now](const std::pair<const std::string, Known> &entry) { return now - entry.second.m_heardAt > m_settings.m_forgetAfter; });
}

}
