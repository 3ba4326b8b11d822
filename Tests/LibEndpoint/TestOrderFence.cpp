/// @file Fencing of orders after pauses and restarts.

#include "LibEndpoint/OrderFence.h"

#include <catch2/catch.hpp>

namespace {

using Endpoint::OrderFence;

const Core::Instant Start{std::chrono::seconds(1000)};
const Core::Duration Age{2000};

Core::ErrorCode codeOf(const Core::Result<void> &result)
{
    REQUIRE_FALSE(result);
    return result.error().m_code;
}

}

TEST_CASE("an order of a plan that was replaced is refused")
{
    // The agent was paused with an order in hand, and the plan moved on. The order would bring back a withdrawn version.
    OrderFence fence = Endpoint::withSeenOffset({}, 5);
    fence = Endpoint::withAnswer(fence, 8, Start);
    REQUIRE(codeOf(Endpoint::checkOrder(fence, 5, Start, Age)) == Core::ErrorCode::Conflict);
    REQUIRE(Endpoint::checkOrder(fence, 8, Start, Age));
}

TEST_CASE("a restarted agent gives no order before it has learned the highest number")
{
    REQUIRE(codeOf(Endpoint::checkOrder(OrderFence(), 5, Start, Age)) == Core::ErrorCode::Unavailable);
    const OrderFence seen = Endpoint::withSeenOffset({}, 5);
    REQUIRE(codeOf(Endpoint::checkOrder(seen, 5, Start, Age)) == Core::ErrorCode::Unavailable);
    REQUIRE(Endpoint::checkOrder(Endpoint::withAnswer(seen, 5, Start), 5, Start, Age));
}

TEST_CASE("a pause between the confirmation and the order is noticed")
{
    // The process stands still right after an entry has confirmed the plan, and goes on minutes later with a plan that is old by then.
    const OrderFence fence = Endpoint::withAnswer(Endpoint::withSeenOffset({}, 5), 5, Start);
    REQUIRE(Endpoint::checkOrder(fence, 5, Start + Age, Age));
    REQUIRE(codeOf(Endpoint::checkOrder(fence, 5, Start + Age + Core::Duration(1), Age)) == Core::ErrorCode::Unavailable);
}

TEST_CASE("an entry that is behind confirms nothing")
{
    const OrderFence fence = Endpoint::withAnswer(Endpoint::withSeenOffset({}, 5), 4, Start);
    REQUIRE(fence.m_highestPlanOffset == 5);
    REQUIRE(codeOf(Endpoint::checkOrder(fence, 5, Start, Age)) == Core::ErrorCode::Unavailable);
}

TEST_CASE("each order needs a confirmation of its own, and a newer plan voids an older confirmation")
{
    const OrderFence fence = Endpoint::withAnswer(Endpoint::withSeenOffset({}, 5), 5, Start);
    REQUIRE(codeOf(Endpoint::checkOrder(Endpoint::withConfirmationUsed(fence), 5, Start, Age)) == Core::ErrorCode::Unavailable);
    REQUIRE(codeOf(Endpoint::checkOrder(Endpoint::withSeenOffset(fence, 6), 6, Start, Age)) == Core::ErrorCode::Unavailable);
    REQUIRE(Endpoint::withSeenOffset(fence, 3).m_highestPlanOffset == 5);
}

namespace {

/// An agent with a plan in hand, the plans that operators put in force meanwhile, and the time.
struct World
{
    OrderFence m_fence;
    Control::Offset m_planInHand = 1;
    Control::Offset m_newest = 1; ///< As every entry knows.
    Core::Instant m_now = Start;
    Core::Instant m_replacedAt = Start; ///< When the newest plan came into force.
    Control::Offset m_highestOrdered = 0;
    bool m_broken = false;
    std::string m_trace;
};

enum class Event {
    Publish,
    Ask,
    LearnPlan,
    Order,
    Pause,
    Restart,
};

constexpr std::array Events = {Event::Publish, Event::Ask, Event::LearnPlan, Event::Order, Event::Pause, Event::Restart};

void apply(World &world, Event event)
{
    world.m_trace += std::to_string(static_cast<int>(event));
    switch (event) {
    case Event::Publish:
        ++world.m_newest;
        world.m_replacedAt = world.m_now;
        break;
    case Event::Ask:
        world.m_fence = Endpoint::withAnswer(world.m_fence, world.m_newest, world.m_now);
        break;
    case Event::LearnPlan:
        world.m_planInHand = world.m_newest;
        world.m_fence = Endpoint::withSeenOffset(world.m_fence, world.m_newest);
        break;
    case Event::Order:
        if (Endpoint::checkOrder(world.m_fence, world.m_planInHand, world.m_now, Age)) {
            // An order may be as old as the confirmation, but neither older than that nor below an earlier order.
            const bool staleTooLong = world.m_planInHand < world.m_newest && world.m_now - world.m_replacedAt > Age;
            world.m_broken = world.m_broken || staleTooLong || world.m_planInHand < world.m_highestOrdered;
            world.m_highestOrdered = std::max(world.m_highestOrdered, world.m_planInHand);
            world.m_fence = Endpoint::withConfirmationUsed(world.m_fence);
        }
        break;
    case Event::Pause:
        world.m_now += Age + Core::Duration(1);
        break;
    case Event::Restart:
        // A fresh process may start from the oldest plan that some lagging feed still has.
        world.m_fence = OrderFence();
        world.m_planInHand = 1;
        break;
    }
}

std::string findBreach(const World &world, int depth)
{
    if (world.m_broken) {
        return world.m_trace;
    }
    for (const Event event : Events) {
        if (depth == 0) {
            return "";
        }
        World next = world;
        apply(next, event);
        const std::string breach = findBreach(next, depth - 1);
        if (!breach.empty()) {
            return breach;
        }
    }
    return "";
}

}

TEST_CASE("model check: no order follows a plan that was replaced longer ago than the confirmation may be old")
{
    REQUIRE(findBreach(World(), 7) == "");
}
