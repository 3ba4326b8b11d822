/// @file Implementation of the record of answer times.

#include "LibRelay/AnswerTimes.h"

#include <algorithm>

namespace Relay {

namespace {

constexpr Core::Duration Period{30000}; ///< Answers of one to two periods count.
constexpr std::size_t MaximumKeys = 1024; ///< Routes come and go with configurations.
constexpr std::size_t MinimumAnswers = 8; ///< Fewer show too little about the longest one.
/// The bound exceeds the longest answer by this part of it, or by the minimum if that is more, since load changes.
constexpr int MarginDivisor = 4;
constexpr Core::Duration MinimumMargin{250};

}

void AnswerTimes::record(const std::string &key, Core::Duration expected, Core::Duration taken, Core::Instant now)
{
    const Core::Duration excess = std::max(Core::Duration(0), taken - expected);
    if (!m_keys.contains(key) && m_keys.size() >= MaximumKeys) {
        removeExpired(now);
        if (m_keys.size() >= MaximumKeys) {
            return;
        }
    }
    Excess &known = m_keys.emplace(key, Excess{now, excess}).first->second;
    const Core::Duration age = std::chrono::duration_cast<Core::Duration>(now - known.m_periodBegan);
    if (age >= 2 * Period) {
        known = Excess{now, excess};
    } else if (age >= Period) {
        known = Excess{now, excess, known.m_largest, 0, known.m_answers};
    }
    known.m_largest = std::max(known.m_largest, excess);
    ++known.m_answers;
}

std::optional<Core::Duration> AnswerTimes::upperBound(const std::string &key, Core::Duration expected, Core::Instant now) const
{
    const std::map<std::string, Excess>::const_iterator known = m_keys.find(key);
    if (known == m_keys.end() || known->second.m_answers + known->second.m_answersBefore < MinimumAnswers || now - known->second.m_periodBegan >= 2 * Period) {
        return std::nullopt;
    }
    const Core::Duration longest = expected + std::max(known->second.m_largest, known->second.m_largestBefore);
    return longest + std::max(longest / MarginDivisor, MinimumMargin);
}

void AnswerTimes::removeExpired(Core::Instant now)
{
    std::erase_if(m_keys, [now](const std::pair<const std::string, Excess> &entry) { return now - entry.second.m_periodBegan >= 2 * Period; });
}

}
