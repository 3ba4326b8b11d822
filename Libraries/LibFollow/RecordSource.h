/// @file Interface for reading declarations and the endpoint list. Implemented by the adapter of the platform.
#pragma once

#include "LibCore/Clock.h"
#include "LibFleet/FleetState.h"

#include <functional>

namespace Follow {

using DeclarationsCallback = std::function<void(Core::Result<Fleet::Declarations>)>;
using EndpointsCallback = std::function<void(Core::Result<Fleet::EndpointChanges>)>;

/**
 * Reads without blocking; each read calls its callback exactly once, on the loop's thread.
 *
 * Reads from an offset fail with NotFound if the records there have been dropped; a full read is then required.
 */
struct RecordSource
{
    /// Reads the newest configuration and weights.
    std::function<void(DeclarationsCallback done)> m_readAllDeclarations;
    /// Reads the declarations from an offset on; waits for up to @p waitLimit if there are none yet.
    std::function<void(Fleet::Offset from, Core::Duration waitLimit, DeclarationsCallback done)> m_awaitDeclarations;
    /// Closes the connection of the newest read of m_awaitDeclarations that waits. Its callback is not called any more. Empty if the source cannot do so.
    std::function<void()> m_cancelAwait;
    /// Reads the newest entry of every endpoint.
    std::function<void(EndpointsCallback done)> m_readAllEndpoints;
    /// Reads the changes of the endpoint list from an offset on, without waiting.
    std::function<void(Fleet::Offset from, EndpointsCallback done)> m_readEndpoints;
};

}
