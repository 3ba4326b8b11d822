/// @file Random schedules are the same for the same seed, and take back every fault.

#include "LibScenario/RandomScript.h"

#include <catch2/catch.hpp>

TEST_CASE("a seed always gives the same schedule, and seeds differ")
{
    REQUIRE(Scenario::randomScript(7) == Scenario::randomScript(7));
    REQUIRE_FALSE(Scenario::randomScript(7) == Scenario::randomScript(8));
}

TEST_CASE("whatever is killed is replaced and whatever is frozen is resumed")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        INFO("seed " << seed);
        std::vector<std::string> broken;
        for (const Scenario::Step &step : Scenario::randomScript(seed).m_steps) {
            const Scenario::Act *act = std::get_if<Scenario::Act>(&step.m_verb);
            if (!act) {
                continue;
            }
            const bool breaks = act->m_action == Scenario::ProcessAction::Kill || act->m_action == Scenario::ProcessAction::Freeze;
            if (breaks) {
                broken.push_back(act->m_process);
            } else {
                REQUIRE(std::erase(broken, act->m_process) == 1);
            }
        }
        REQUIRE(broken.empty());
    }
}
