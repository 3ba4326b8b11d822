/// @file Tests of order fencing after pauses and restarts of the agent.

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

TEST_CASE("an order from a replaced plan is refused")
{
    // The agent was paused before it sent an order, and the plan was replaced. The order would restore a withdrawn version.
    OrderFence fence = Endpoint::withSeenOffset({}, 5);
    fence = Endpoint::withAnswer(fence, 8, Start);
    REQUIRE(codeOf(Endpoint::checkOrder(fence, 5, Start, Age)) == Core::ErrorCode::Conflict);
    REQUIRE(Endpoint::checkOrder(fence, 8, Start, Age));
}

TEST_CASE("a restarted agent gives no order before an entry has confirmed the newest plan")
{
    REQUIRE(codeOf(Endpoint::checkOrder(OrderFence(), 5, Start, Age)) == Core::ErrorCode::Unavailable);
    const OrderFence seen = Endpoint::withSeenOffset({}, 5);
    REQUIRE(codeOf(Endpoint::checkOrder(seen, 5, Start, Age)) == Core::ErrorCode::Unavailable);
    REQUIRE(Endpoint::checkOrder(Endpoint::withAnswer(seen, 5, Start), 5, Start, Age));
}

TEST_CASE("a pause between the confirmation and the order is detected")
{
    // The process is paused right after an entry has confirmed the plan, and resumes minutes later when the plan may be outdated.
    const OrderFence fence = Endpoint::withAnswer(Endpoint::withSeenOffset({}, 5), 5, Start);
    REQUIRE(Endpoint::checkOrder(fence, 5, Start + Age, Age));
    REQUIRE(codeOf(Endpoint::checkOrder(fence, 5, Start + Age + Core::Duration(1), Age)) == Core::ErrorCode::Unavailable);
}

TEST_CASE("the answer of an entry that is behind is not a confirmation")
{
    const OrderFence fence = Endpoint::withAnswer(Endpoint::withSeenOffset({}, 5), 4, Start);
    REQUIRE(fence.m_highestPlanOffset == 5);
    REQUIRE(codeOf(Endpoint::checkOrder(fence, 5, Start, Age)) == Core::ErrorCode::Unavailable);
}

TEST_CASE("each order requires its own confirmation, and a newer plan invalidates an older confirmation")
{
    const OrderFence fence = Endpoint::withAnswer(Endpoint::withSeenOffset({}, 5), 5, Start);
    REQUIRE(codeOf(Endpoint::checkOrder(Endpoint::withConfirmationUsed(fence), 5, Start, Age)) == Core::ErrorCode::Unavailable);
    REQUIRE(codeOf(Endpoint::checkOrder(Endpoint::withSeenOffset(fence, 6), 6, Start, Age)) == Core::ErrorCode::Unavailable);
    REQUIRE(Endpoint::withSeenOffset(fence, 3).m_highestPlanOffset == 5);
}

namespace {

/// An agent with its plan, the newest plan published by operators, and the time.
struct SystemModel
{
    OrderFence m_fence;
    Control::Offset m_agentPlan = 1;
    Control::Offset m_newest = 1; ///< Newest published plan, known to all entries.
    Core::Instant m_now = Start;
    Core::Instant m_replacedAt = Start; ///< Time at which the newest plan replaced the previous one.
    Control::Offset m_highestOrdered = 0;
    bool m_isViolated = false;
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

void apply(SystemModel &model, Event event)
{
    model.m_trace += std::to_string(static_cast<int>(event));
    switch (event) {
    case Event::Publish:
        ++model.m_newest;
        model.m_replacedAt = model.m_now;
        break;
    case Event::Ask:
        model.m_fence = Endpoint::withAnswer(model.m_fence, model.m_newest, model.m_now);
        break;
    case Event::LearnPlan:
        model.m_agentPlan = model.m_newest;
        model.m_fence = Endpoint::withSeenOffset(model.m_fence, model.m_newest);
        break;
    case Event::Order:
        if (Endpoint::checkOrder(model.m_fence, model.m_agentPlan, model.m_now, Age)) {
            // An order may be as outdated as the confirmation allows, but not more, and must not be from an older plan than an earlier order.
            const bool isStaleTooLong = model.m_agentPlan < model.m_newest && model.m_now - model.m_replacedAt > Age;
            model.m_isViolated = model.m_isViolated || isStaleTooLong || model.m_agentPlan < model.m_highestOrdered;
            model.m_highestOrdered = std::max(model.m_highestOrdered, model.m_agentPlan);
            model.m_fence = Endpoint::withConfirmationUsed(model.m_fence);
        }
        break;
    case Event::Pause:
        model.m_now += Age + Core::Duration(1);
        break;
    case Event::Restart:
        // A new process may start from the oldest plan that a lagging feed still provides.
        model.m_fence = OrderFence();
        model.m_agentPlan = 1;
        break;
    }
}

/// Explores all sequences of up to @p depth events. Returns the trace of the first one that violates the invariant, or an empty text.
std::string findViolation(const SystemModel &model, int depth)
{
    if (model.m_isViolated) {
        return model.m_trace;
    }
    for (const Event event : Events) {
        if (depth == 0) {
            return "";
        }
        SystemModel next = model;
        apply(next, event);
        const std::string violation = findViolation(next, depth - 1);
        if (!violation.empty()) {
            return violation;
        }
    }
    return "";
}

}

TEST_CASE("model check: no order is given from a plan that was replaced longer ago than the maximum age of a confirmation")
{
    REQUIRE(findViolation(SystemModel(), 7) == "");
}
