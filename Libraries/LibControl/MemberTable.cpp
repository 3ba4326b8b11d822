/// @file Implementation of the member table.

#include "LibControl/MemberTable.h"

#include <algorithm>
#include <set>

namespace Control {

bool MemberTable::isGone(const std::string &incarnation) const
{
    return !incarnation.empty() && std::find(m_gone.begin(), m_gone.end(), incarnation) != m_gone.end();
}

void MemberTable::markGone(const std::string &incarnation)
{
    if (incarnation.empty() || isGone(incarnation)) {
        return;
    }
    if (m_gone.size() >= MaximumGone) {
        m_gone.pop_front();
    }
    m_gone.push_back(incarnation);
}

bool MemberTable::put(const Protocol::Member &member, Core::Instant now)
{
    Row &row = m_rows[member.m_id];
    row.m_lastHeard = now;
    Protocol::Member next = member;
    const bool isSameProcess = row.m_member.m_incarnation == member.m_incarnation;
    if (isSameProcess) {
        next.m_leaving = next.m_leaving || row.m_member.m_leaving;
    }
    if (row.m_member == next) {
        return false;
    }
    row.m_member = std::move(next);
    return true;
}

bool MemberTable::announce(const Protocol::Member &member, Core::Instant now)
{
    if (member.m_id.empty() || isGone(member.m_incarnation)) {
        return false;
    }
    const std::map<std::string, Row>::const_iterator known = m_rows.find(member.m_id);
    if (known != m_rows.end() && known->second.m_member.m_incarnation != member.m_incarnation) {
        markGone(known->second.m_member.m_incarnation);
    }
    const bool hasChanged = put(member, now);
    m_rows[member.m_id].m_isDirect = true;
    return hasChanged;
}

/// Whether an instance that the list does not show is gone.
bool MemberTable::hasExpired(const Row &row, Core::Instant now)
{
    return row.m_wasListed || now - row.m_lastHeard >= (row.m_isDirect ? UnlistedPatience : HearsayPatience);
}

bool MemberTable::merge(const MemberKnowledge &knowledge, Core::Instant now)
{
    bool hasChanged = false;
    for (const std::string &incarnation : knowledge.m_gone) {
        markGone(incarnation);
    }
    for (std::map<std::string, Row>::iterator it = m_rows.begin(); it != m_rows.end();) {
        const bool hasEnded = isGone(it->second.m_member.m_incarnation);
        it = hasEnded ? m_rows.erase(it) : std::next(it);
        hasChanged = hasChanged || hasEnded;
    }
    for (const Protocol::Member &member : knowledge.m_members) {
        if (member.m_id.empty() || member.m_incarnation.empty() || isGone(member.m_incarnation)) {
            continue;
        }
        const std::map<std::string, Row>::const_iterator known = m_rows.find(member.m_id);
        const bool knowsAnother =
            known != m_rows.end() && !known->second.m_member.m_incarnation.empty() && known->second.m_member.m_incarnation != member.m_incarnation;
        if (!knowsAnother) {
            hasChanged = put(member, now) || hasChanged;
        }
    }
    return hasChanged;
}

bool MemberTable::replace(std::span<const Protocol::Member> members, Core::Instant now)
{
    std::set<std::string> ids;
    bool hasChanged = false;
    for (const Protocol::Member &member : members) {
        ids.insert(member.m_id);
        hasChanged = put(member, now) || hasChanged;
    }
    const std::size_t erased = std::erase_if(m_rows, [&ids](const std::pair<const std::string, Row> &entry) { return !ids.contains(entry.first); });
    return hasChanged || erased > 0;
}

bool MemberTable::applyList(std::span<const Protocol::Member> listed, Core::Instant now)
{
    bool hasChanged = false;
    std::set<std::string> ids;
    for (const Protocol::Member &member : listed) {
        ids.insert(member.m_id);
        std::map<std::string, Row>::iterator known = m_rows.find(member.m_id);
        if (known == m_rows.end()) {
            hasChanged = put(member, now) || hasChanged;
            m_rows[member.m_id].m_wasListed = true;
            continue;
        }
        known->second.m_wasListed = true;
        Protocol::Member &current = known->second.m_member;
        if (current.m_incarnation.empty()) {
            hasChanged = current != member || hasChanged;
            current = member;
        } else if (member.m_leaving && !current.m_leaving && member.m_wire == current.m_wire) {
            current.m_leaving = true;
            hasChanged = true;
        }
    }
    for (std::map<std::string, Row>::iterator it = m_rows.begin(); it != m_rows.end();) {
        if (ids.contains(it->first) || !hasExpired(it->second, now)) {
            ++it;
            continue;
        }
        markGone(it->second.m_member.m_incarnation);
        it = m_rows.erase(it);
        hasChanged = true;
    }
    return hasChanged;
}

MemberKnowledge MemberTable::knowledge() const
{
    return MemberKnowledge{members(), std::vector<std::string>(m_gone.begin(), m_gone.end())};
}

std::vector<Protocol::Member> MemberTable::members() const
{
    std::vector<Protocol::Member> members;
    members.reserve(m_rows.size());
    for (const std::pair<const std::string, Row> &entry : m_rows) {
        members.push_back(entry.second.m_member);
    }
    return members;
}

}
