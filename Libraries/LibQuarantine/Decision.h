/// @file Decides under which parts of prompts endpoints end. The functions depend only on their arguments.
#pragma once

#include "LibCore/Clock.h"
#include "LibQuarantine/Observations.h"

#include <functional>

namespace Quarantine {

struct DecisionSettings
{
    std::uint32_t m_pointsBegun = 5; ///< For a crash just after the endpoint had begun to answer a request with the part.
    /// For a crash of a request under which an endpoint had ended before. All parts of a request that is sent again share such crashes.
    std::uint32_t m_pointsRepeated = 2;
    std::uint32_t m_pointsOther = 3; ///< For a crash while such a request was queued there, or had been running for long.
    std::uint32_t m_threshold = 15; ///< Points of a part at fault: three crashes of the first kind, or five of any.
    std::uint32_t m_completedThreshold = 25; ///< The same for a part with which answers were completed before the first of these crashes.
    /// The same for a part that many requests have. It would end endpoints often, so that more crashes take little time; and it is lost with endpoints often.
    std::uint32_t m_popularThreshold = 30;
    double m_popularShare = 0.1; ///< Share of the requests that have a popular part.
    std::uint64_t m_popularArrivals = 2; ///< Requests that a popular part has at least.
    /// Points that may come from crashes for which another part at fault accounts, too.
    std::uint32_t m_sharedPoints = 5;
    /// Crashes within this time of each other count once: a loss of power ends many endpoints in one moment, under all parts.
    Core::Duration m_commonCauseWindow{100};
    /// Time from the first crash to a decision. Popular parts are part of answers that are completed in this time, and other entries tell of them.
    Core::Duration m_settleTime{1500};
    /// Answers that all processes must have completed since the first crash. Without any, nothing tells the part at fault from parts that many requests share.
    std::uint64_t m_neededCompletions = 20;
    Core::Duration m_longSettleTime{10000}; ///< After this time one is enough, as where requests are rare.
    Core::Duration m_propagationTime{300}; ///< More recent crashes are not counted yet: other entries may still tell of further parts that were lost in them.
    std::uint64_t m_unharmedRuns = 2; ///< A part of which more requests than this, and more than were lost, are or were at endpoints unharmed is less suspect.

    bool operator==(const DecisionSettings &) const = default;
};

/// The end of one incarnation of an endpoint while a request with a part was under way there.
struct Crash
{
    Incarnation m_incarnation = 0;
    Account m_account = 0;
    bool m_hadBegun = false;
    Core::Instant m_at;
    std::uint32_t m_candidates = 1; ///< Parts of the request with which no answer was known to have been completed; at least 1.
    RequestHash m_request = 0; ///< The request with the part.

    bool operator==(const Crash &) const = default;
};

/// What is known of a part under which endpoints have ended.
struct Suspect
{
    PromptPart m_part;
    std::vector<Crash> m_crashes; ///< Since the last completed answer, in any order, one for each incarnation.
    bool m_wasCompleted = false; ///< Answers to requests with the part were completed before these crashes.
    bool m_isBlamed = false; ///< The part was decided to be at fault before.
    std::uint64_t m_arrivals = 0; ///< Requests with the part that this process has received.
    double m_share = 0; ///< Of these requests among all that this process has received.
    std::uint64_t m_runs = 0; ///< Requests with the part that this process has sent.
    std::uint64_t m_lostRuns = 0; ///< Those of them that were lost with their endpoints.
    std::uint64_t m_completionsSince = 0; ///< Estimated number of answers that all processes have completed since the first of the crashes.

    bool operator==(const Suspect &) const = default;
};

bool isEarlier(const Crash &left, const Crash &right);
/// Returns when the newest of the crashes was; the epoch if there are none.
Core::Instant newestCrashAt(const std::vector<Crash> &crashes);
/// Returns the points of these crashes.
std::uint32_t crashPoints(std::vector<Crash> crashes, const DecisionSettings &settings);

/**
 * Returns the parts that are at fault and were not blamed before.
 *
 * All requests of an endpoint are lost with it, so every part of theirs is a suspect. The part at fault is in all of the crashes that it has caused and in no
 * completed answer. Parts are judged from the most to the least suspect, and crashes for which one accounts hardly count for the next. Parts that share all
 * their crashes cannot be told apart, and are at fault together.
 */
std::vector<PromptPart> decide(std::vector<Suspect> suspects, Core::Instant now, const DecisionSettings &settings);

using DecideFunction = std::function<std::vector<PromptPart>(std::vector<Suspect> suspects, Core::Instant now, const DecisionSettings &settings)>;

}
