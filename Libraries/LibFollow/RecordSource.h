/// @file Where declarations and the list of endpoints are read, as the product needs it. Supplied by the adapter of the place it runs on.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/FleetState.h"

#include <functional>

namespace Follow {

using DeclarationsCallback = std::function<void(Core::Result<Fleet::Declarations>)>;
using EndpointsCallback = std::function<void(Core::Result<Fleet::EndpointChanges>)>;

/**
 * Reads without blocking; each read calls back exactly once, on the loop's thread.
 *
 * Reads from an offset fail with NotFound if records there have been dropped; a read of everything is due then.
 */
struct RecordSource
{
    /// The newest configuration and weights.
    std::function<void(DeclarationsCallback done)> m_readAllDeclarations;
    /// What was declared from an offset on; waits for up to @p patience if there is nothing yet.
    std::function<void(Fleet::Offset from, Core::Duration patience, DeclarationsCallback done)> m_awaitDeclarations;
    /// The newest entry of every endpoint.
    std::function<void(EndpointsCallback done)> m_readAllEndpoints;
    /// Changes of the list from an offset on, without waiting.
    std::function<void(Fleet::Offset from, EndpointsCallback done)> m_readEndpoints;
};

}
