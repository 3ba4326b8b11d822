/// @file Divides the requests that a cold endpoint takes per second among the entries, so that all of them together keep to its rate.
#pragma once

#include "LibPlacement/RequestLimits.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Placement {

struct ColdBudgetSettings
{
    double m_excess = 1; ///< Factor by which the requests of all entries may exceed the rate that a service states for its cold endpoints.
    double m_slack = 0; ///< Requests per second beyond that.
    double m_usedShare = 0.8; ///< Part of the budget that is given out. The rest covers entries that do not know of each other for a moment.
    Core::Duration m_window{1100}; ///< Time in which an entry sends its allowance. Above a second, since requests take different times to arrive.
    /// Part of the cold endpoints to which an entry sends single requests while it does not know most others. Entries that all start together would use the
    /// budget several times if each counted the few that it knows, and would leave callers waiting for seconds if none sent anything.
    double m_newcomerShare = 0.25;

    bool operator==(const ColdBudgetSettings &) const = default;
};

/// Which entries get the requests of a budget that is smaller than their number.
enum class HolderOrder {
    NearestFirst,
    /// Those to which newcomerAllowance() gives a request, then the nearest. Requests that were sent by newcomers then come out of the same budget.
    NewcomersFirst,
};

/**
 * Returns how many requests @p self may send to a cold endpoint within each window.
 *
 * With more entries than requests in the budget, one request each is given to the entries that rank first for the endpoint. An entry that was cut off goes on
 * with its allowance, which no other entry uses as long as it is known.
 */
std::size_t coldAllowance(const Fleet::Endpoint &endpoint,
                          double perSecond,
                          const LimitHolder &self,
                          const std::vector<LimitHolder> &others,
                          HolderOrder order,
                          const ColdBudgetSettings &settings);

/// As coldAllowance(), for an entry that does not know most others: chosen by weights that depend on nobody else.
std::size_t newcomerAllowance(const Fleet::Endpoint &endpoint, const LimitHolder &self, const ColdBudgetSettings &settings);

/// Knows which endpoints are cold and keeps to this process's part of what they take. Used by one thread.
class ColdBudget
{
public:
    explicit ColdBudget(LimitHolder self, ColdBudgetSettings settings = {});

    /// Sets the other entries. @p isComplete: whether they are nearly all; until then this process sends little to cold endpoints.
    void setEntries(std::vector<LimitHolder> others, bool isComplete);
    /// Records that the endpoint is cold, for at most @p duration from now, and takes @p perSecond requests per second of all entries together.
    void recordCold(const Fleet::Endpoint &endpoint, double perSecond, Core::Duration duration, Core::Instant now);
    /// Records that the endpoint is not cold any more.
    void recordWarm(const Fleet::Endpoint &endpoint);
    /// Returns whether the endpoint is known to be cold.
    bool isCold(const Fleet::Endpoint &endpoint, Core::Instant now) const;
    /// Returns whether the endpoint may get a request of this process now.
    bool maySend(const Fleet::Endpoint &endpoint, Core::Instant now) const;
    /// Records that this process has sent a request to the endpoint.
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
        Core::Instant m_until;
        HolderOrder m_order = HolderOrder::NearestFirst; ///< Stays the same for as long as the endpoint is cold, as does the set of entries that may send.
        std::deque<Core::Instant> m_sentAt; ///< Times of the requests within the last window, oldest first.
    };

    const Cold *find(const Fleet::Endpoint &endpoint, Core::Instant now) const;

    const LimitHolder m_self;
    const ColdBudgetSettings m_settings;
    std::vector<LimitHolder> m_others;
    bool m_isComplete = true;
    std::map<std::string, Cold> m_cold; ///< By endpoint id.
};

}
