/// @file Implementation of the rule for orders whose outcome is not known.

#include "LibStaging/UnsettledOrder.h"

namespace Staging {

bool mayAccept(const EngineStatus &status, const UnsettledOrder &order)
{
    return status.m_startedMilliseconds == order.m_engineStartedMilliseconds && status.m_acceptedOrders == order.m_expectedAcceptedOrders;
}

bool isPending(const EngineStatus &status, const StrayOrder &order, Core::Instant now)
{
    const bool isSameEngine = status.m_startedMilliseconds == order.m_order.m_engineStartedMilliseconds;
    return isSameEngine && status.m_acceptedOrders <= order.m_order.m_expectedAcceptedOrders && now < order.m_until;
}

bool holdsStage(const EngineStatus &status, const StrayOrder &order, std::uint64_t target, Core::Instant now)
{
    return isPending(status, order, now) && status.m_acceptedOrders == order.m_order.m_expectedAcceptedOrders && target != order.m_version;
}

bool followsOrder(const EngineStatus &status, const StrayOrder &order, std::uint64_t target, Core::Instant now)
{
    return isPending(status, order, now) && status.m_acceptedOrders + 1 == order.m_order.m_expectedAcceptedOrders && target != order.m_version;
}

}
