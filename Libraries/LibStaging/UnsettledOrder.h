/// @file Load orders whose outcome is not known.
#pragma once

#include "LibStaging/EngineControl.h"

namespace Staging {

/// A load order without a response. Its engine may accept it at any later time, until it restarts or accepts another order.
struct UnsettledOrder
{
    std::uint64_t m_engineStartedMilliseconds = 0; ///< EngineStatus::m_startedMilliseconds of the engine that the order was sent to.
    std::uint64_t m_expectedAcceptedOrders = 0; ///< LoadOrder::m_expectedAcceptedOrders of the order.

    bool operator==(const UnsettledOrder &) const = default;
};

/// Returns whether an engine with this status can still accept the order.
bool mayAccept(const EngineStatus &status, const UnsettledOrder &order);

/// An order without a response whose engine has restarted, perhaps before the order arrived. The new start may accept it once it has accepted as many others.
struct StrayOrder
{
    UnsettledOrder m_order; ///< With the new start.
    std::uint64_t m_version = 0; ///< That it names.
    Core::Instant m_until; ///< After this time it is no longer expected to be on its way.

    bool operator==(const StrayOrder &) const = default;
};

/// Returns whether the engine may still accept the order, now or later.
bool isPending(const EngineStatus &status, const StrayOrder &order, Core::Instant now);

/// Returns whether the engine would accept the order now, so that nothing of version @p target may be staged unless the order names it.
bool holdsStage(const EngineStatus &status, const StrayOrder &order, std::uint64_t target, Core::Instant now);

/// Returns whether the engine would accept the order right after one for version @p target, and load its chunks under another version.
bool followsOrder(const EngineStatus &status, const StrayOrder &order, std::uint64_t target, Core::Instant now);

}
