/// @file Tests that the retries of all entries together keep to the limit of a service, whatever starts, ends or is cut off.

#include "SimulatedRetries.h"

#include <catch2/catch.hpp>
#include <iostream>

namespace {

using SimulatedRetries::Outcome;
using SimulatedRetries::Scenario;

constexpr Placement::RetryBudgetSettings Settings{0.2, 217, 0.85, Core::Duration(10000), Core::Duration(2000)};

/// Requests per second of a busy service and of one with few requests, for a number of entries.
std::vector<double> rates(std::size_t entries)
{
    return {20, 8.5 * static_cast<double>(entries), 150};
}

std::vector<Scenario> scenarios(std::size_t entries, double requestsPerSecond)
{
    Scenario base;
    base.m_entries = entries;
    base.m_requestsPerSecond = requestsPerSecond;
    Scenario outage = base;
    outage.m_failingShare = 1;
    Scenario one = base;
    one.m_restarts = {28};
    one.m_restartShare = 1.0 / static_cast<double>(entries);
    Scenario all = outage;
    all.m_restarts = {28.5};
    Scenario series = outage;
    series.m_restarts = {26.5, 28.5, 30.5, 32.5, 34.5};
    Scenario overlapping = outage;
    overlapping.m_restarts = {26, 27, 29, 31};
    overlapping.m_restartShare = 0.6;
    overlapping.m_restartGap = 2.0 / static_cast<double>(entries);
    Scenario beforeFailure = outage;
    beforeFailure.m_restarts = {24};
    Scenario join = outage;
    join.m_joining = entries;
    join.m_joinAt = 27;
    Scenario cut = outage;
    cut.m_cutFrom = 20;
    Scenario cutAndRestart = series;
    cutAndRestart.m_cutFrom = 20;
    cutAndRestart.m_restartShare = 0.3;
    return {base, outage, one, all, series, overlapping, beforeFailure, join, cut, cutAndRestart};
}

}

TEST_CASE("Retries of all entries keep to the limit while entries start, end, join and are cut off")
{
    // Guards against processes that forget by starting what they have spent, and against a slack that is divided by the few entries that one sees.
    const std::size_t entries = GENERATE(1, 12, 52, 150, 400);
    for (const double rate : rates(entries)) {
        const std::vector<Scenario> all = scenarios(entries, rate);
        for (std::size_t index = 0; index < all.size(); ++index) {
            const Outcome outcome = SimulatedRetries::play(all[index], Settings);
            INFO(entries << " entries, " << rate << " requests/s, scenario " << index);
            CHECK(outcome.m_worstUse <= 1);
        }
    }
}

TEST_CASE("Nearly all requests are retried while a service fails for a moment")
{
    // Guards against a limit that is kept by refusing what it allows.
    Scenario scenario;
    scenario.m_failTo = scenario.m_failFrom + 1;
    const Outcome outcome = SimulatedRetries::play(scenario, Settings);
    CHECK(outcome.m_refusedThoughAllowed * 10 < outcome.m_wanted);
}

TEST_CASE("Retries refused though they were allowed, by number of entries", "[.][measure]")
{
    for (const std::size_t entries : {1, 12, 52, 150, 400}) {
        for (const double rate : rates(entries)) {
            const std::vector<Scenario> all = scenarios(entries, rate);
            for (std::size_t index = 0; index < all.size(); ++index) {
                const Outcome outcome = SimulatedRetries::play(all[index], Settings);
                std::cout << entries << " " << rate << " " << index << " use " << outcome.m_worstUse << " wanted " << outcome.m_wanted << " sent "
                          << outcome.m_sent << " refused though allowed " << outcome.m_refusedThoughAllowed << "\n";
            }
        }
    }
}
