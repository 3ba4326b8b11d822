/// @file Implementation of order fencing.

#include "LibEndpoint/OrderFence.h"

#include <algorithm>

namespace Endpoint {

OrderFence withSeenOffset(OrderFence fence, Control::Offset offset)
{
    if (offset > fence.m_highestPlanOffset) {
        fence.m_highestPlanOffset = offset;
        fence.m_confirmationRequestedAt.reset();
    }
    return fence;
}

OrderFence withAnswer(OrderFence fence, Control::Offset newest, Core::Instant requestedAt)
{
    if (newest < fence.m_highestPlanOffset) {
        return fence;
    }
    fence.m_highestPlanOffset = newest;
    fence.m_confirmationRequestedAt = requestedAt;
    return fence;
}

Core::Result<void> checkOrder(const OrderFence &fence, Control::Offset orderFence, Core::Instant now, Core::Duration maximumAge)
{
    if (orderFence < fence.m_highestPlanOffset) {
        const std::string detail = "plan " + std::to_string(orderFence) + " was replaced by " + std::to_string(fence.m_highestPlanOffset);
        return Core::makeError(Core::ErrorCode::Conflict, "check fence", "", detail);
    }
    if (!fence.m_confirmationRequestedAt || orderFence > fence.m_highestPlanOffset) {
        return Core::makeError(Core::ErrorCode::Unavailable, "check fence", "", "no entry has confirmed the newest plan");
    }
    if (now - *fence.m_confirmationRequestedAt > maximumAge) {
        return Core::makeError(Core::ErrorCode::Unavailable, "check fence", "", "the confirmation is too old; the process may have been paused");
    }
    return Core::success();
}

OrderFence withConfirmationUsed(OrderFence fence)
{
    fence.m_confirmationRequestedAt.reset();
    return fence;
}

}
