/// @file Implementation of the table of parts.

#include "LibQuarantine/PartHistory.h"

#include <algorithm>
#include <vector>

namespace Quarantine {

PartRecord &PartHistory::use(const PromptPart &part, Core::Instant now)
{
    if (m_records.size() >= m_maximumSize && !m_records.contains(part)) {
        removeOldest();
    }
    PartRecord &record = m_records[part];
    record.m_usedAt = now;
    return record;
}

const PartRecord &PartHistory::find(const PromptPart &part) const
{
    static const PartRecord unknown{};
    const std::map<PromptPart, PartRecord>::const_iterator found = m_records.find(part);
    return found == m_records.end() ? unknown : found->second;
}

void PartHistory::removeOldest()
{
    // An eighth goes at once, so that the cost of a new part stays small while callers send many.
    std::vector<Core::Instant> times;
    for (const std::pair<const PromptPart, PartRecord> &entry : m_records) {
        times.push_back(entry.second.m_usedAt);
    }
    const std::vector<Core::Instant>::iterator eighth = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 8);
    std::nth_element(times.begin(), eighth, times.end());
    const Core::Instant oldest = *eighth;
    std::erase_if(m_records, [oldest](const std::pair<const PromptPart, PartRecord> &entry) { return entry.second.m_usedAt <= oldest; });
}

}
