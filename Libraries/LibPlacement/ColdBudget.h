/// @file Divides the requests that a cold endpoint takes per second among the entries, so that all of them together keep to its rate.
#pragma once

#include "LibPlacement/RequestLimits.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

struct ColdBudgetSettings
{
    double m_excess = 1; ///< Factor by which the requests of all entries may exceed the rate that a service states for its cold endpoints.
    double m_slack = 0; ///< Requests per second beyond that.
    double m_usedShare = 0.8; ///< Part of the budget that is given out. The rest covers entries that do not know of each other for a moment.
    /// Time in which an entry sends its allowance. Above a second, since requests take different times to arrive. An entry that has just started waits as long:
    /// it does not know what its predecessor has sent.
    Core::Duration m_window{1100};
    /// Part of the cold endpoints to which an entry sends single requests while it may not know all others. Entries that all start together would use the
    /// budget several times if each counted the few that it knows, and would leave callers waiting for seconds if none sent anything.
    double m_newcomerShare = 0.25;
    Core::Duration m_settlingTime{3000}; ///< An entry knows all others if it has come to know no more of them for this long; several heartbeats.
    double m_growthFactor = 1.1; ///< A smaller change of the number of entries changes little of what each of them may send.

    bool operator==(const ColdBudgetSettings &) const = default;
};

/**
 * Returns how many requests the entry @p self may send to a cold endpoint within each window, beside @p others.
 *
 * With more entries than requests in the budget, one request each is given to those that newcomerAllowance() allows one, then to the nearest ones. The order
 * depends on nothing but the endpoint and the entry, so entries with different lists of others choose nearly the same ones. An entry that was cut off goes on
 * with its allowance, which no other entry uses as long as it is known.
 */
std::size_t coldAllowance(
    const Fleet::Endpoint &endpoint, double perSecond, const LimitHolder &self, const std::vector<LimitHolder> &others, const ColdBudgetSettings &settings);

/// As coldAllowance(), for an entry that may not know all others: it depends on nobody else, and comes out of the same requests.
std::size_t newcomerAllowance(const Fleet::Endpoint &endpoint, const LimitHolder &self, const ColdBudgetSettings &settings);

/// Knows which endpoints are cold and keeps to this process's part of what they take. Used by one thread.
class ColdBudget
{
public:
    ColdBudget(LimitHolder self, ColdBudgetSettings settings, Core::Instant startedAt);

    /// Sets the other entries. @p isComplete: whether they are nearly all; until then this process sends little to cold endpoints.
    void setEntries(std::vector<LimitHolder> others, bool isComplete, Core::Instant now);
    /**
     * Records what the endpoint states now, in place of what it stated before: that it is cold until @p coldUntil, or warm if that is empty.
     *
     * While cold it takes @p perSecond requests per second of all entries together. Returns whether this differs from what was recorded.
     */
    bool recordStated(const Fleet::Endpoint &endpoint, double perSecond, std::optional<Core::Instant> coldUntil);
    /// Records that the endpoint may be cold until @p coldUntil without having stated it yet, so that a statement does not end it.
    void recordSuspected(const Fleet::Endpoint &endpoint, double perSecond, Core::Instant coldUntil);
    /// Records that no rate is known that the endpoint takes while cold, so that it has no limit.
    void recordUnlimited(const Fleet::Endpoint &endpoint);
    /// Returns whether the endpoint is known to be cold.
    bool isCold(const Fleet::Endpoint &endpoint, Core::Instant now) const;
    /// Returns whether the endpoint may get a request of this process now.
    bool maySend(const Fleet::Endpoint &endpoint, Core::Instant now) const;
    /// Records that this process has sent a request to the endpoint, cold or not: it may have become cold before this process knows.
    void recordSent(const Fleet::Endpoint &endpoint, Core::Instant now);
    /// Returns the number of cold endpoints.
    std::size_t coldCount(Core::Instant now) const;
    /// Removes endpoints that are not in @p known.
    void retainKnown(const std::map<std::string, Fleet::KnownEndpoint> &known);

private:
    struct Cold
    {
        std::uint64_t m_startedMilliseconds = 0; ///< Incarnation of the endpoint.
        double m_perSecond = 0;
        std::optional<Core::Instant> m_statedUntil; ///< Empty if the endpoint states that it is warm.
        Core::Instant m_suspectedUntil;

        /// Returns whether the endpoint counts as cold.
        bool isInForce(Core::Instant now) const
        {
            return (m_statedUntil && now < *m_statedUntil) || now < m_suspectedUntil;
        }
    };

    /// Returns what is recorded of the endpoint's incarnation. Creates it if there is nothing, and replaces what is of another incarnation.
    Cold &getOrCreate(const Fleet::Endpoint &endpoint);

    const Cold *find(const Fleet::Endpoint &endpoint, Core::Instant now) const;
    /// Returns whether this process divides budgets among all entries.
    bool isSettled(Core::Instant now) const;
    /// Returns how many requests this process has sent to the endpoint within the last window.
    std::size_t countRecent(const std::string &endpoint, Core::Instant now) const;

    const LimitHolder m_self;
    const ColdBudgetSettings m_settings;
    const Core::Instant m_startedAt;
    std::vector<LimitHolder> m_others;
    bool m_isComplete = false;
    std::size_t m_grownCount = 0; ///< Of the other entries, when their number last grew.
    Core::Instant m_grownAt; ///< When that was, or when the process started.
    std::map<std::string, Cold> m_cold; ///< By endpoint id.
    std::map<std::string, std::deque<Core::Instant>> m_sentAt; ///< Times of the requests within the last window, oldest first, by endpoint id.
};

}
