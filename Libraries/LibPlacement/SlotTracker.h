/// @file This process's part of the places at engines, counted without a word between the processes that share them.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Placement {

/// What a report says of an engine's places.
struct ReportedSlots
{
    double m_free = 0; ///< Requests that it may take now, queue included; negative if it has more than that.
    double m_maximum = 0; ///< Requests that it may have at once.
    double m_finishedPerSecond = 0; ///< Requests that it finishes while it is full.

    bool operator==(const ReportedSlots &) const = default;
};

/**
 * Deals the places of every engine out to the processes by their share of the traffic.
 *
 * All processes hear the same reports. If each sent to whatever looked free, all would send to the same few engines until the next report. Each process
 * therefore counts only its own part of the places as free; the parts add up to the whole. Used by one thread.
 */
class SlotTracker
{
public:
    /// Part of the traffic that this process has; over 0, at most 1.
    void setShare(double share);
    double share() const
    {
        return m_share;
    }

    void recordReport(const std::string &engine, const ReportedSlots &places, Core::Instant now);
    /// A request of this process goes to the engine.
    void recordSent(const std::string &engine);
    /// This process's part of the engine's places. May be a fraction, or negative.
    double freeSlots(const std::string &engine, Core::Instant now) const;
    /// Sum of the parts at all engines from which a report came lately; empty if there is no such engine.
    std::optional<double> totalFreeSlots(Core::Instant now) const;
    /// This process's part of the requests that these engines finish in a second while they are full.
    double finishedPerSecond(Core::Instant now) const;
    /// Engines that have reported lately and have places, free or taken.
    std::size_t enginesWithSlots(Core::Instant now) const;
    /// Engines from which a report came lately.
    std::size_t reportingEngines(Core::Instant now) const;
    /// Drops the engines that are not known any more.
    void retainKnown(const std::function<bool(const std::string &engine)> &isKnown);

private:
    struct Entry
    {
        ReportedSlots m_report;
        Core::Instant m_reportedAt;
        double m_sentSinceReport = 0; ///< Requests of this process since the report.
    };

    double freeSlotsOf(const Entry &entry, Core::Instant now) const;

    double m_share = 1;
    std::map<std::string, Entry> m_entries; ///< By engine.
};

}
