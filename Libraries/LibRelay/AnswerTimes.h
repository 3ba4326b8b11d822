/// @file How long endpoints have recently taken for complete answers, by route and service.
#pragma once

#include "LibCore/Clock.h"

#include <map>
#include <optional>
#include <string>

namespace Relay {

/// Keeps, for each key, by how much its answers have exceeded the expected time at most, over a sliding window. Used by one thread.
class AnswerTimes
{
public:
    /// Records that an answer which was expected to take @p expected has taken @p taken, from the first endpoint that got the request to its end.
    void record(const std::string &key, Core::Duration expected, Core::Duration taken, Core::Instant now);
    /// Returns a time within which an answer that is expected to take @p expected ends, as far as recent answers show; empty if they are too few.
    std::optional<Core::Duration> upperBound(const std::string &key, Core::Duration expected, Core::Instant now) const;
    std::size_t keyCount() const
    {
        return m_keys.size();
    }

private:
    /// Largest excess in a period and in the one before it.
    struct Excess
    {
        Core::Instant m_periodBegan;
        Core::Duration m_largest{0};
        Core::Duration m_largestBefore{0};
        std::size_t m_answers = 0; ///< In the period.
        std::size_t m_answersBefore = 0; ///< In the period before it.
    };

    void removeExpired(Core::Instant now);

    std::map<std::string, Excess> m_keys; ///< At most MaximumKeys.
};

}
