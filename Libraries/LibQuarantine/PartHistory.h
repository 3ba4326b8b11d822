/// @file What a process knows of the parts that its requests have: how often they were received, sent, lost and completed.
#pragma once

#include "LibCore/Clock.h"
#include "LibQuarantine/PromptPart.h"

#include <cstdint>
#include <map>
#include <optional>

namespace Quarantine {

struct PartRecord
{
    std::uint64_t m_arrivals = 0; ///< Requests that this process has received.
    std::uint64_t m_runs = 0; ///< Requests that this process has sent.
    std::uint64_t m_lostRuns = 0; ///< Those of them that were lost with their endpoints.
    std::optional<Core::Instant> m_completedAt; ///< Last completed answer, also of other processes.
    Core::Instant m_usedAt;

    bool operator==(const PartRecord &) const = default;
};

/// A bounded table of parts. Forgets those that were not used for longest. Used by one thread.
class PartHistory
{
public:
    explicit PartHistory(std::size_t maximumSize)
        : m_maximumSize(maximumSize)
    {
    }

    /// Returns the record of the part, which is created if there is none.
    PartRecord &use(const PromptPart &part, Core::Instant now);
    /// Returns the record of the part; a default one if there is none.
    const PartRecord &find(const PromptPart &part) const;
    bool wasCompleted(const PromptPart &part) const
    {
        return find(part).m_completedAt.has_value();
    }
    std::size_t size() const
    {
        return m_records.size();
    }

private:
    void removeOldest();

    const std::size_t m_maximumSize;
    std::map<PromptPart, PartRecord> m_records;
};

}
