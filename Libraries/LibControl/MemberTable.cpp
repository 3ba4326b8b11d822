/// @file Implementation of the member table.

#include "LibControl/MemberTable.h"

#include <algorithm>
#include <set>

namespace Control {

bool MemberTable::isEnded(const std::string &incarnation) const
{
    return !incarnation.empty() && std::find(m_endedIncarnations.begin(), m_endedIncarnations.end(), incarnation) != m_endedIncarnations.end();
}

void MemberTable::markEnded(const std::string &incarnation)
{
    if (incarnation.empty() || isEnded(incarnation)) {
        return;
    }
    if (m_endedIncarnations.size() >= MaximumEndedIncarnations) {
        m_endedIncarnations.pop_front();
    }
    m_endedIncarnations.push_back(incarnation);
}

bool MemberTable::upsert(const Protocol::Member &member, Core::Instant now)
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
    if (member.m_id.empty() || isEnded(member.m_incarnation)) {
        return false;
    }
    const std::map<std::string, Row>::const_iterator known = m_rows.find(member.m_id);
    if (known != m_rows.end() && known->second.m_member.m_incarnation != member.m_incarnation) {
        markEnded(known->second.m_member.m_incarnation);
    }
    const bool hasChanged = upsert(member, now);
    m_rows[member.m_id].m_isAnnouncedHere = true;
    return hasChanged;
}

/// Returns whether an instance that the list does not show is removed.
bool MemberTable::hasExpired(const Row &row, Core::Instant now)
{
    return row.m_wasListed || now - row.m_lastHeard >= (row.m_isAnnouncedHere ? UnlistedTimeout : IndirectTimeout);
}

bool MemberTable::merge(const MembershipSnapshot &other, Core::Instant now)
{
    bool hasChanged = false;
    for (const std::string &incarnation : other.m_endedIncarnations) {
        markEnded(incarnation);
    }
    for (std::map<std::string, Row>::iterator it = m_rows.begin(); it != m_rows.end();) {
        const bool hasEnded = isEnded(it->second.m_member.m_incarnation);
        it = hasEnded ? m_rows.erase(it) : std::next(it);
        hasChanged = hasChanged || hasEnded;
    }
    for (const Protocol::Member &member : other.m_members) {
        if (member.m_id.empty() || member.m_incarnation.empty() || isEnded(member.m_incarnation)) {
            continue;
        }
        const std::map<std::string, Row>::const_iterator known = m_rows.find(member.m_id);
        const bool hasOtherIncarnation =
            known != m_rows.end() && !known->second.m_member.m_incarnation.empty() && known->second.m_member.m_incarnation != member.m_incarnation;
        if (!hasOtherIncarnation) {
            hasChanged = upsert(member, now) || hasChanged;
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
        hasChanged = upsert(member, now) || hasChanged;
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
            hasChanged = upsert(member, now) || hasChanged;
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
        markEnded(it->second.m_member.m_incarnation);
        it = m_rows.erase(it);
        hasChanged = true;
    }
    return hasChanged;
}

MembershipSnapshot MemberTable::snapshot() const
{
    return MembershipSnapshot{members(), std::vector<std::string>(m_endedIncarnations.begin(), m_endedIncarnations.end())};
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
