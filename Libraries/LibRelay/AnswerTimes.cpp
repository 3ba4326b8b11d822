/// @file Implementation of the record of answer times.

#include "LibRelay/AnswerTimes.h"

#include <algorithm>

namespace Relay {

namespace {

constexpr Core::Duration Period{30000}; ///< Answers of one to two periods count.
constexpr std::size_t MaximumRoutes = 1024; ///< Routes come and go with configurations.
constexpr std::size_t MinimumAnswers = 8; ///< Fewer show too little about the longest one.
/// The bound exceeds the longest answer by this part of it, or by the minimum if that is more, since load changes.
constexpr int MarginDivisor = 4;
constexpr Core::Duration MinimumMargin{250};

}

void AnswerTimes::record(const std::string &route, Core::Duration expected, Core::Duration taken, Core::Instant now)
{
    const Core::Duration excess = std::max(Core::Duration(0), taken - expected);
    if (!m_routes.contains(route) && m_routes.size() >= MaximumRoutes) {
        removeExpired(now);
        if (m_routes.size() >= MaximumRoutes) {
            return;
        }
    }
    Excess &known = m_routes.emplace(route, Excess{now, excess, Core::Duration(0), 0}).first->second;
    const Core::Duration age = std::chrono::duration_cast<Core::Duration>(now - known.m_periodBegan);
    if (age >= 2 * Period) {
        known = Excess{now, excess, Core::Duration(0), 0};
    } else if (age >= Period) {
        known = Excess{now, excess, known.m_largest, known.m_answers};
    }
    known.m_largest = std::max(known.m_largest, excess);
    ++known.m_answers;
}

std::optional<Core::Duration> AnswerTimes::upperBound(const std::string &route, Core::Duration expected, Core::Instant now) const
{
    const std::map<std::string, Excess>::const_iterator known = m_routes.find(route);
    if (known == m_routes.end() || known->second.m_answers < MinimumAnswers || now - known->second.m_periodBegan >= 2 * Period) {
        return std::nullopt;
    }
    const Core::Duration longest = expected + std::max(known->second.m_largest, known->second.m_largestBefore);
    return longest + std::max(longest / MarginDivisor, MinimumMargin);
}

void AnswerTimes::removeExpired(Core::Instant now)
{
    std::erase_if(m_routes, [now](const std::pair<const std::string, Excess> &entry) { return now - entry.second.m_periodBegan >= 2 * Period; });
}

}
