/// @file Fencing of the orders to the local engine: old plans and paused agents must not steer it. Pure.
#pragma once

#include "LibControl/Model.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <optional>

namespace Endpoint {

/**
 * What the agent knows about the newest plan of its service.
 *
 * An agent that was paused or restarted may hold a plan that was replaced meanwhile. Its late order would bring back a version
 * that operators have withdrawn, and an engine that does not check fencing numbers would obey. Therefore every order
 * needs an entry's answer that no newer plan exists, and the answer must be young when the order goes out.
 */
struct OrderFence
{
    Control::Offset m_highestPlanOffset = 0; ///< Highest plan offset seen in this life; never goes down.
    std::optional<Core::Instant> m_confirmationRequestedAt; ///< When the inquiry left whose answer confirmed m_highest; empty once it was used for an order.

    bool operator==(const OrderFence &) const = default;
};

/// Notes a plan offset that was seen in the state feed; it confirms nothing.
OrderFence withSeenOffset(OrderFence fence, Control::Offset offset);

/**
 * Notes an entry's answer to an inquiry that left at @p askedAt.
 *
 * An entry that knows of less than this agent is behind and cannot tell whether something newer exists; its answer confirms nothing.
 */
OrderFence withAnswer(OrderFence fence, Control::Offset newest, Core::Instant askedAt);

/// Whether an order with @p orderFence may go out now. Fails with Conflict if it is old, and with Unavailable if that is not known.
Core::Result<void> checkOrder(const OrderFence &fence, Control::Offset orderFence, Core::Instant now, Core::Duration maximumAge);

/// After an order the next one needs an answer of its own.
OrderFence withConfirmationUsed(OrderFence fence);

}
