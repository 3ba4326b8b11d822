/// @file Implementation of the decision.

#include "LibQuarantine/Decision.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Quarantine {

namespace {

bool hasSettled(const Suspect &suspect, Core::Instant now, const DecisionSettings &settings)
{
    const std::vector<Crash>::const_iterator first = std::min_element(suspect.m_crashes.begin(), suspect.m_crashes.end(), isEarlier);
    if (first == suspect.m_crashes.end() || now - first->m_at < settings.m_settleTime) {
        return false;
    }
    const std::uint64_t needed = now - first->m_at < settings.m_longSettleTime ? settings.m_neededCompletions : 1;
    return suspect.m_completionsSince >= needed;
}

std::set<Incarnation> incarnationsOf(const Suspect &suspect)
{
    std::set<Incarnation> incarnations;
    for (const Crash &crash : suspect.m_crashes) {
        incarnations.insert(crash.m_incarnation);
    }
    return incarnations;
}

std::uint32_t unexplainedPoints(const Suspect &suspect, const std::set<Incarnation> &explained, const DecisionSettings &settings)
{
    std::vector<Crash> crashes = suspect.m_crashes;
    std::erase_if(crashes, [&explained](const Crash &crash) { return explained.contains(crash.m_incarnation); });
    return crashPoints(std::move(crashes), settings);
}

std::uint32_t thresholdFor(const Suspect &suspect, const DecisionSettings &settings)
{
    const bool isPopular = suspect.m_arrivals >= settings.m_popularArrivals && suspect.m_share >= settings.m_popularShare;
    if (isPopular) {
        return settings.m_popularThreshold;
    }
    return suspect.m_wasCompleted ? settings.m_completedThreshold : settings.m_threshold;
}

bool isAtFault(const Suspect &suspect, const std::set<Incarnation> &explained, Core::Instant now, const DecisionSettings &settings)
{
    const std::uint32_t threshold = thresholdFor(suspect, settings);
    const std::uint32_t total = crashPoints(suspect.m_crashes, settings);
    const bool hasEnough = total >= threshold && unexplainedPoints(suspect, explained, settings) + settings.m_sharedPoints >= threshold;
    return hasEnough && hasSettled(suspect, now, settings);
}

std::size_t accountCount(const Suspect &suspect)
{
    std::set<Account> accounts;
    for (const Crash &crash : suspect.m_crashes) {
        accounts.insert(crash.m_account);
    }
    return accounts.size();
}

/// Orders the most suspect part first.
using Rank = std::tuple<bool, bool, std::int64_t, bool, std::int64_t, std::uint64_t>;

Rank rankOf(const Suspect &suspect, const DecisionSettings &settings)
{
    const std::uint64_t unharmed = suspect.m_runs - std::min(suspect.m_runs, suspect.m_lostRuns);
    const bool isMostlyUnharmed = unharmed > settings.m_unharmedRuns && unharmed > suspect.m_lostRuns;
    // Accounts share a part at fault more often than the parts of a conversation, which was only under way when endpoints ended.
    return Rank(suspect.m_wasCompleted,
                isMostlyUnharmed,
                -std::int64_t{crashPoints(suspect.m_crashes, settings)},
                !suspect.m_isBlamed,
                -static_cast<std::int64_t>(accountCount(suspect)),
                suspect.m_runs);
}

std::vector<Suspect> sortedBySuspicion(std::vector<Suspect> suspects, const DecisionSettings &settings)
{
    std::vector<std::pair<Rank, std::size_t>> ranks;
    for (const Suspect &suspect : suspects) {
        ranks.emplace_back(rankOf(suspect, settings), ranks.size());
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<Suspect> sorted;
    for (const std::pair<Rank, std::size_t> &rank : ranks) {
        sorted.push_back(std::move(suspects[rank.second]));
    }
    return sorted;
}

/// Removes crashes of which other entries may not have told everything yet.
void removeRecentCrashes(std::vector<Suspect> &suspects, Core::Instant now, const DecisionSettings &settings)
{
    for (Suspect &suspect : suspects) {
        std::erase_if(suspect.m_crashes, [now, &settings](const Crash &crash) { return now - crash.m_at < settings.m_propagationTime; });
    }
}

}

bool isEarlier(const Crash &left, const Crash &right)
{
    return left.m_at < right.m_at;
}

Core::Instant newestCrashAt(const std::vector<Crash> &crashes)
{
    const std::vector<Crash>::const_iterator newest = std::max_element(crashes.begin(), crashes.end(), isEarlier);
    return newest == crashes.end() ? Core::Instant() : newest->m_at;
}

std::uint32_t crashPoints(std::vector<Crash> crashes, const DecisionSettings &settings)
{
    std::sort(crashes.begin(), crashes.end(), isEarlier);
    std::uint32_t total = 0;
    std::uint32_t largestInWindow = 0;
    std::optional<Core::Instant> windowStart;
    std::set<RequestHash> requests;
    for (const Crash &crash : crashes) {
        if (!windowStart || crash.m_at - *windowStart > settings.m_commonCauseWindow) {
            windowStart = crash.m_at;
            total += largestInWindow;
            largestInWindow = 0;
        }
        const bool isRepeated = !requests.insert(crash.m_request).second;
        const std::uint32_t points = crash.m_hadBegun ? settings.m_pointsBegun : settings.m_pointsOther;
        largestInWindow = std::max(largestInWindow, isRepeated ? settings.m_pointsRepeated : points);
    }
    return total + largestInWindow;
}

std::vector<PromptPart> decide(std::vector<Suspect> suspects, Core::Instant now, const DecisionSettings &settings)
{
    removeRecentCrashes(suspects, now, settings);
    suspects = sortedBySuspicion(std::move(suspects), settings);
    std::vector<PromptPart> found;
    std::set<Incarnation> explained;
    std::optional<Suspect> previous; // The last part that was found to be at fault.
    for (const Suspect &suspect : suspects) {
        const bool isIndistinguishable = previous && !suspect.m_wasCompleted && !previous->m_wasCompleted && suspect.m_runs == previous->m_runs
            && incarnationsOf(suspect) == incarnationsOf(*previous);
        if (!suspect.m_isBlamed && !isIndistinguishable && !isAtFault(suspect, explained, now, settings)) {
            continue;
        }
        if (!suspect.m_isBlamed) {
            found.push_back(suspect.m_part);
            previous = suspect;
        }
        explained.merge(incarnationsOf(suspect));
    }
    return found;
}

}
