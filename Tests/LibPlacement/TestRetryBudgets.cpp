/// @file Tests of the retry budgets that processes share.

#include "LibPlacement/RetryBudgets.h"

#include <catch2/catch.hpp>

TEST_CASE("the retries of all processes together stay within the budget of a window")
{
    // When a service fails, every process retries its requests. If each used more than its share of the budget, together they would multiply the load on the
    // remaining endpoints.
    constexpr std::size_t processes = 13;
    constexpr int requestsEach = 140;
    const Placement::RetryBudgetSettings settings{0.2, 217, 0.85};
    int retries = 0;
    for (std::size_t process = 0; process < processes; ++process) {
        Placement::RetryBudgets budgets(settings);
        budgets.setProcessCount(processes);
        for (int request = 0; request < requestsEach; ++request) {
            budgets.onRequest("drafts");
            retries += budgets.tryRetry("drafts", Core::Instant()) ? 1 : 0;
        }
    }
    CHECK(retries <= 0.2 * processes * requestsEach + 217);
    CHECK(retries > 0.5 * (0.2 * processes * requestsEach + 217));
}

TEST_CASE("services do not use each other's budget")
{
    Placement::RetryBudgets budgets(Placement::RetryBudgetSettings{0.2, 2, 1});
    while (budgets.tryRetry("one", Core::Instant())) { }
    CHECK(budgets.tryRetry("two", Core::Instant()));
}
