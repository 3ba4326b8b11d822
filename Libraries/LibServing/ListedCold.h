/// @file Tells the budget for cold endpoints what the list of endpoints and the configuration state about them.
#pragma once

#include "LibFleet/FleetState.h"
#include "LibPlacement/ColdBudget.h"

#include <optional>
#include <string>
#include <vector>

namespace Serving {

/**
 * For this time after the end of its cold time by the list, an endpoint counts as cold unless the list calls it warm: it may have become cold again, and a
 * statement takes this long to reach every entry. It waits for the endpoint's next heartbeat, for the next read of the list and for the message between
 * entries.
 */
inline constexpr Core::Duration ColdStatementDelay{3500};
static_assert(ColdStatementDelay > 2 * Fleet::ColdEndTolerance); // The end by the list may be early by the tolerance, which must leave time for the rest.

/// A change of what the list states about an endpoint.
struct ColdStatement
{
    std::string m_endpoint; ///< Id.
    bool m_isCold = false;
    std::optional<Core::Instant> m_coldUntil; ///< As listed; empty if the end is unknown, and for a warm endpoint.

    bool operator==(const ColdStatement &) const = default;
};

/**
 * Records what the list calls cold and warm now, and what cold endpoints take by the configuration in force. Returns the changes.
 *
 * Must be called after changes of the list and of the configuration. Either can become known first, and both state again what they have stated before.
 */
std::vector<ColdStatement> recordListedCold(const Fleet::FleetState &state, Placement::ColdBudget &budget);

/// Records that an endpoint may have become cold without the list saying so yet. Does nothing if no known configuration states what cold endpoints take.
void suspectCold(const Fleet::Endpoint &endpoint, const Fleet::FleetState &state, Placement::ColdBudget &budget, Core::Instant now);

}
