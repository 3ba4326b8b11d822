/// @file Implementation of the delayed instance list.

#include "LibStandInLog/DelayedInstanceList.h"

namespace StandIn {

DelayedInstanceList::DelayedInstanceList(Core::Duration lag)
    : m_lag(lag)
{
}

void DelayedInstanceList::put(const std::string &id, const ListedInstance &instance, Core::Instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_changes.push_back(Change{now, id, instance, false});
}

void DelayedInstanceList::remove(const std::string &id, Core::Instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_changes.push_back(Change{now, id, {}, true});
}

std::map<std::string, ListedInstance> DelayedInstanceList::visible(Core::Instant now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    while (!m_changes.empty() && m_changes.front().m_changedAt + m_lag <= now) {
        const Change &change = m_changes.front();
        if (change.m_isRemoval) {
            m_visible.erase(change.m_id);
        } else {
            m_visible[change.m_id] = change.m_instance;
        }
        m_changes.pop_front();
    }
    return m_visible;
}

}
