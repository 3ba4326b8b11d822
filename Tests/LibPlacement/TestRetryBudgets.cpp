/// @file Tests of one entry's parts of the retry budgets.

#include "LibPlacement/RetryBudgets.h"

#include <catch2/catch.hpp>

namespace {

using Placement::RetryGrant;

constexpr Placement::RetryBudgetSettings Settings{0.2, 217, 0.85, Core::Duration(10000), Core::Duration(2000)};
const Core::Instant Start = Core::Instant() + Core::Duration(1'000'000);
const Core::Instant Settled = Start + Core::Duration(60000); ///< Long after the start.

Placement::RetrySharers sharers(std::size_t others, bool areKnown = true)
{
    Placement::RetrySharers sharers{"self", {}, 0, areKnown};
    for (std::size_t other = 0; other < others; ++other) {
        sharers.m_others.push_back("other-" + std::to_string(other));
    }
    return sharers;
}

Placement::RetryBudgets budgetsOf(std::size_t others, bool areKnown = true)
{
    Placement::RetryBudgets budgets("self", Settings, Start);
    budgets.setSharers(sharers(others, areKnown));
    return budgets;
}

bool tryRetry(Placement::RetryBudgets &budgets, const std::string &service, Core::Instant now)
{
    const RetryGrant grant = budgets.tryReserve(service, false, 1, now);
    if (grant != RetryGrant::None) {
        budgets.spend(service, grant, now);
    }
    return grant != RetryGrant::None;
}

std::size_t retryAll(Placement::RetryBudgets &budgets, Core::Instant now)
{
    std::size_t retries = 0;
    while (tryRetry(budgets, "drafts", now)) {
        ++retries;
    }
    return retries;
}

}

TEST_CASE("The retries of all processes together stay within the budget of a window")
{
    // Guards against processes that together multiply the load on the remaining endpoints when a service fails.
    constexpr std::size_t processes = 13;
    constexpr int requestsEach = 140;
    int retries = 0;
    for (std::size_t process = 0; process < processes; ++process) {
        Placement::RetryBudgets budgets = budgetsOf(processes - 1);
        for (int request = 0; request < requestsEach; ++request) {
            budgets.recordRequest("drafts", Settled);
            retries += tryRetry(budgets, "drafts", Settled) ? 1 : 0;
        }
    }
    CHECK(retries <= 0.2 * processes * requestsEach + 217);
    CHECK(retries > 0.5 * (0.2 * processes * requestsEach + 217));
}

TEST_CASE("Services do not use each other's budget")
{
    Placement::RetryBudgets budgets = budgetsOf(0);
    retryAll(budgets, Settled);
    CHECK(tryRetry(budgets, "other", Settled));
}

TEST_CASE("A process that has just started uses none of the slack, which its predecessor may have spent")
{
    // Guards against restarts that refill the budget.
    Placement::RetryBudgets budgets = budgetsOf(11);
    CHECK(retryAll(budgets, Start + Core::Duration(11999)) == 0);
    CHECK(retryAll(budgets, Start + Core::Duration(12000)) > 0);
}

TEST_CASE("The slack that was spent is available again after a window")
{
    Placement::RetryBudgets budgets = budgetsOf(11);
    const std::size_t slack = retryAll(budgets, Settled);
    CHECK(slack > 0);
    CHECK(retryAll(budgets, Settled + Core::Duration(9999)) == 0);
    CHECK(retryAll(budgets, Settled + Core::Duration(10000)) == slack);
}

TEST_CASE("Processes that join and leave do not refill the retry budget")
{
    // Guards against heartbeats that stop and return, each time with a full budget.
    Placement::RetryBudgets budgets = budgetsOf(12);
    const std::size_t allowed = static_cast<std::size_t>(Settings.m_slack / 12);
    std::size_t retries = 0;
    for (std::size_t change = 0; change < 20; ++change) {
        budgets.setSharers(sharers(11 + change % 2));
        retries += retryAll(budgets, Settled);
    }
    CHECK(retries <= allowed);
}

TEST_CASE("The parts of the slack add up to no more than the slack")
{
    // Guards against parts that are rounded up, of which four hundred are more than all.
    const std::size_t entries = GENERATE(1, 12, 52, 150, 184, 185, 400);
    std::size_t sum = 0;
    for (std::size_t self = 0; self < entries; ++self) {
        Placement::RetrySharers view{"entry-" + std::to_string(self), {}, 0, true};
        for (std::size_t other = 0; other < entries; ++other) {
            if (other != self) {
                view.m_others.push_back("entry-" + std::to_string(other));
            }
        }
        const Placement::RetryShare share = Placement::retryShare(Placement::heldSlack("drafts", view, Settings), 0, Settings);
        sum += share.m_maximumTokens + share.m_slack;
    }
    CHECK(sum <= 217);
    CHECK(sum == 184);
}

TEST_CASE("An entry that holds a single retry of the slack need not earn it by requests")
{
    // Guards against services with few requests in large fleets that are refused all retries, although nearly none are made.
    const Placement::RetryShare share = Placement::retryShare(1, 0, Settings);
    CHECK(share.m_slack == 1);
    CHECK(share.m_maximumTokens == 0);
    CHECK(Placement::decideRetry(Placement::RetryAccount{}, share, Placement::RetryQuestion{true, 1, true}) == RetryGrant::Slack);
}

TEST_CASE("An entry that does not know the others holds none of the slack")
{
    // Guards against entries that start together and each use the slack of all.
    Placement::RetryBudgets budgets = budgetsOf(0, false);
    CHECK(retryAll(budgets, Settled) == 0);
    budgets.setSharers(sharers(11));
    const std::size_t known = retryAll(budgets, Settled);
    Placement::RetryBudgets reported("self", Settings, Start);
    Placement::RetrySharers few = sharers(2);
    few.m_reportedEntries = 12;
    reported.setSharers(few);
    CHECK(retryAll(reported, Settled) <= known);
}

TEST_CASE("An entry without slack retries the share of its requests that the ratio allows")
{
    // Guards against entries that refuse every retry because they may not keep a whole one.
    Placement::RetryBudgets budgets = budgetsOf(0, false);
    constexpr int requests = 10;
    int granted = 0;
    for (int request = 0; request < requests; ++request) {
        budgets.recordRequest("drafts", Settled);
        granted += budgets.tryReserve("drafts", true, 0.1 * request, Settled) == RetryGrant::Lot ? 1 : 0;
    }
    CHECK(granted == 2); // Of the lots 0, 0.1, ... 0.9, two are below 0.17.
    CHECK(budgets.tryReserve("drafts", false, 0, Settled) == RetryGrant::None);
}

TEST_CASE("A retry that is not sent after all is available again")
{
    Placement::RetryBudgets budgets = budgetsOf(0, false);
    for (int request = 0; request < 40; ++request) {
        budgets.recordRequest("drafts", Settled);
    }
    const RetryGrant grant = budgets.tryReserve("drafts", true, 1, Settled);
    REQUIRE(grant == RetryGrant::Token);
    CHECK(budgets.decide("drafts", true, 1, Settled) == RetryGrant::None);
    budgets.release("drafts", grant);
    CHECK(budgets.decide("drafts", true, 1, Settled) == RetryGrant::Token);
}
