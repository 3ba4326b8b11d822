/// @file Fencing of orders to the local engine, so that old plans and agents resumed after a pause do not control it. Pure.
#pragma once

#include "LibControl/Model.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <optional>

namespace Endpoint {

/**
 * The agent's known state of the newest plan of its service.
 *
 * An agent that was paused or restarted may hold a plan that has been replaced in the meantime. Its late order would restore a version
 * that operators have withdrawn, and an engine that does not check fencing numbers would accept it. Therefore every order requires
 * an entry's confirmation that no newer plan exists, and the confirmation must be recent when the order is sent.
 */
struct OrderFence
{
    Control::Offset m_highestPlanOffset = 0; ///< Highest plan offset seen by this process; never decreases.
    std::optional<Core::Instant> m_confirmationRequestedAt; ///< Send time of the request that confirmed m_highestPlanOffset; empty after use for an order.

    bool operator==(const OrderFence &) const = default;
};

/// Records a plan offset from the state feed. This is not a confirmation.
OrderFence withSeenOffset(OrderFence fence, Control::Offset offset);

/**
 * Records an entry's answer to a request that was sent at @p requestedAt.
 *
 * An entry that only knows an older plan than this agent is behind and cannot rule out a newer one, so its answer is not a confirmation.
 */
OrderFence withAnswer(OrderFence fence, Control::Offset newest, Core::Instant requestedAt);

/// Checks that an order with @p orderFence may be sent now.
/// Fails with Conflict if its plan was replaced, and with Unavailable if there is no recent confirmation.
Core::Result<void> checkOrder(const OrderFence &fence, Control::Offset orderFence, Core::Instant now, Core::Duration maximumAge);

/// Discards the confirmation after an order. The next order needs a new one.
OrderFence withConfirmationUsed(OrderFence fence);

}
