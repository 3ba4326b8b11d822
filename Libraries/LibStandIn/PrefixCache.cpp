/// @file Implementation of the prefix cache.

#include "LibStandIn/PrefixCache.h"

#include "LibCore/Random.h"

namespace StandIn {

bool PrefixCache::touch(std::string_view weightsDigest, std::string_view prompt)
{
    if (m_capacity == 0) {
        return false;
    }
    const std::uint64_t key = Core::stableHash(prompt.substr(0, PrefixBytes), Core::stableHash(weightsDigest));
    const std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>::iterator found = m_positions.find(key);
    if (found != m_positions.end()) {
        m_byUse.splice(m_byUse.begin(), m_byUse, found->second);
        return true;
    }
    if (m_byUse.size() == m_capacity) {
        m_positions.erase(m_byUse.back());
        m_byUse.pop_back();
    }
    m_byUse.push_front(key);
    m_positions[key] = m_byUse.begin();
    return false;
}

}
