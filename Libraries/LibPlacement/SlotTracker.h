/// @file Counts this process's share of the engines' free slots without communication between the processes that share them.
#pragma once

#include "LibCore/Clock.h"
#include "LibPlacement/AllowedPlaces.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Placement {

/// Slots of an engine according to its report.
struct ReportedSlots
{
    double m_free = 0; ///< Slots without a request; negative if more requests run and queue than there are slots.
    double m_maximum = 0; ///< All slots of the engine.
    double m_finishedPerSecond = 0; ///< Requests that the engine finishes per second while it is full.

    bool operator==(const ReportedSlots &) const = default;
};

/**
 * Divides the slots of each engine among the processes by their share of the traffic.
 *
 * All processes receive the same reports. If each sent requests to any engine that looked free, all would choose the same few engines until the next report.
 * Each process therefore counts only its own share of the slots as free; the shares add up to all slots. Used by one thread.
 */
class SlotTracker
{
public:
    /// Sets this process's share of the traffic, over 0 and at most 1.
    void setShare(double share);
    double share() const
    {
        return m_share;
    }

    /// Records an engine's report, which replaces the earlier one. @p failureDomain: of the engine.
    void recordReport(const std::string &engine, const ReportedSlots &slots, Core::Instant now, const std::string &failureDomain = {});
    /// Counts no slots of the engine until @p end, whatever it reports.
    void block(const std::string &engine, Core::Instant end);
    /// Records that this process has sent a request to the engine.
    void recordSent(const std::string &engine);
    /// Returns this process's share of the engine's free slots. May be a fraction, or negative.
    double freeSlots(const std::string &engine, Core::Instant now) const;
    /// Returns the sum of the shares at all engines in @p places that have reported recently and are not blocked; empty if there is no such engine.
    std::optional<double> totalFreeSlots(Core::Instant now, const AllowedPlaces &places = {}) const;
    /// Returns this process's share of the requests that these engines finish per second while they are full.
    double finishedPerSecond(Core::Instant now, const AllowedPlaces &places = {}) const;
    /// Returns the number of engines in @p places that have reported recently, are not blocked and have slots, free or in use.
    std::size_t enginesWithSlots(Core::Instant now, const AllowedPlaces &places = {}) const;
    /// Returns the number of engines in @p places that have reported recently and are not blocked.
    std::size_t reportingEngines(Core::Instant now, const AllowedPlaces &places = {}) const;
    /// Removes the engines for which @p isKnown returns false.
    void retainKnown(const std::function<bool(const std::string &engine)> &isKnown);

private:
    struct Entry
    {
        ReportedSlots m_report;
        Core::Instant m_reportedAt;
        Core::Instant m_blockedUntil; ///< Until then the engine counts as one without slots.
        double m_sentSinceReport = 0; ///< Requests that this process has sent to the engine since the report.
        std::string m_failureDomain;
    };

    /// Returns whether the engine has reported recently and is not blocked.
    static bool isActive(const Entry &entry, Core::Instant now);
    double freeSlotsOf(const Entry &entry, Core::Instant now) const;

    double m_share = 1;
    std::map<std::string, Entry> m_entries; ///< By endpoint id of the engine.
};

}
