/// @file Which requests are admitted when there is more work than the engines can do: pure decisions.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/Configuration.h"
#include "LibPlacement/PlaceLedger.h"

#include <map>
#include <optional>
#include <string>

namespace Placement {

/**
 * Tells how long a caller has waited already.
 *
 * A caller that comes back after a refusal sends a new request, which states only the time that is left. The longest time that any caller of a route
 * has stated lately is what a fresh one has. Used by one thread.
 */
class CallerPatience
{
public:
    /// Notes what a caller of the route states, and returns the time that it has lost since its first try.
    Core::Duration lost(const std::string &route, Core::Duration patience, Core::Instant now);

private:
    struct Longest
    {
        Core::Duration m_patience{0};
        Core::Instant m_seenAt;
    };

    std::map<std::string, Longest> m_longest; ///< By route.
};

struct AdmissionSettings
{
    /**
     * Requests that are admitted to an engine beyond its slots. None: parts of places are rounded, and what is sent between two reports queues anyway.
     * In a model of 16 engines at 1.4 times their capacity for 10 s, 1431 answers begin in time and 69 late; with two places more, 1245 and 326.
     */
    double m_queuePlaces = 0;
    double m_freshPlaces = 1; ///< Places that a fresh request needs in this process's part.
    /**
     * The same for a request whose objective cannot be met any more, for each engine: it takes only what is idle. An answer in time is worth four late
     * ones, so fresh requests go first.
     */
    double m_latePlacesPerEngine = 4;

    bool operator==(const AdmissionSettings &) const = default;
};

/// Places that a request needs in this process's part of all places, which is @p share of those at @p engines engines. @p lost: time since the first try.
double neededPlaces(Core::Duration goal, Core::Duration lost, std::size_t engines, double share, const AdmissionSettings &settings);

/// What a report says of an engine's places.
ReportedPlaces reportedPlaces(const Fleet::EngineModel &engine, std::uint32_t running, std::uint32_t waiting, double pace, const AdmissionSettings &settings);

}
