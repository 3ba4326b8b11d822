/// @file Implementation of the slot tracker.

#include "LibPlacement/SlotTracker.h"

#include <algorithm>

namespace Placement {

namespace {

constexpr Core::Duration ReportLifetime{2000}; ///< Four reporting intervals. Engines whose last report is older are not counted.
constexpr double MinimumShare = 0.001;

}

void SlotTracker::setShare(double share)
{
    m_share = std::clamp(share, MinimumShare, 1.0);
}

void SlotTracker::recordReport(const std::string &engine, const ReportedSlots &slots, Core::Instant now, const std::string &failureDomain)
{
    const Core::Instant blockedUntil = m_entries[engine].m_blockedUntil;
    m_entries[engine] = Entry{slots, now, blockedUntil, 0, failureDomain};
}

void SlotTracker::block(const std::string &engine, Core::Instant end)
{
    m_entries[engine].m_blockedUntil = end;
}

void SlotTracker::recordSent(const std::string &engine)
{
    const std::map<std::string, Entry>::iterator entry = m_entries.find(engine);
    if (entry != m_entries.end()) {
        entry->second.m_sentSinceReport += 1;
    }
}

bool SlotTracker::isActive(const Entry &entry, Core::Instant now)
{
    return now - entry.m_reportedAt < ReportLifetime && now >= entry.m_blockedUntil;
}

double SlotTracker::freeSlotsOf(const Entry &entry, Core::Instant now) const
{
    if (now < entry.m_blockedUntil) {
        return 0;
    }
    // Requests that end between two reports free slots too.
    const double finished = Core::secondsBetween(entry.m_reportedAt, now) * entry.m_report.m_finishedPerSecond;
    return m_share * std::min(entry.m_report.m_maximum, entry.m_report.m_free + finished) - entry.m_sentSinceReport;
}

double SlotTracker::freeSlots(const std::string &engine, Core::Instant now) const
{
    const std::map<std::string, Entry>::const_iterator entry = m_entries.find(engine);
    return entry == m_entries.end() ? 0 : freeSlotsOf(entry->second, now);
}

std::optional<double> SlotTracker::totalFreeSlots(Core::Instant now, const AllowedPlaces &places) const
{
    std::optional<double> sum;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        if (isActive(entry.second, now) && places.allows(entry.second.m_failureDomain)) {
            sum = sum.value_or(0) + freeSlotsOf(entry.second, now);
        }
    }
    return sum;
}

double SlotTracker::finishedPerSecond(Core::Instant now, const AllowedPlaces &places) const
{
    double sum = 0;
    for (const std::pair<const std::string, Entry> &entry : m_entries) {
        if (isActive(entry.second, now) && places.allows(entry.second.m_failureDomain)) {
            sum += entry.second.m_report.m_finishedPerSecond;
        }
    }
    return m_share * sum;
}

std::size_t SlotTracker::enginesWithSlots(Core::Instant now, const AllowedPlaces &places) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [now, &places](const std::pair<const std::string, Entry> &entry) {
        return isActive(entry.second, now) && entry.second.m_report.m_maximum > 0 && places.allows(entry.second.m_failureDomain);
    }));
}

std::size_t SlotTracker::reportingEngines(Core::Instant now, const AllowedPlaces &places) const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [now, &places](const std::pair<const std::string, Entry> &entry) {
        return isActive(entry.second, now) && places.allows(entry.second.m_failureDomain);
    }));
}

void SlotTracker::retainKnown(const std::function<bool(const std::string &engine)> &isKnown)
{
    std::erase_if(m_entries, [&isKnown](const std::pair<const std::string, Entry> &entry) { return !isKnown(entry.first); });
}

}
