/// @file Tests that random fault schedules are reproducible and restore every process.

#include "LibScenario/RandomScript.h"

#include <catch2/catch.hpp>

TEST_CASE("Equal seeds give equal schedules, and different seeds give different ones")
{
    REQUIRE(Scenario::randomScript(7) == Scenario::randomScript(7));
    REQUIRE_FALSE(Scenario::randomScript(7) == Scenario::randomScript(8));
}

TEST_CASE("Every killed process is replaced and every frozen process is resumed")
{
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        INFO("seed " << seed);
        std::vector<std::string> broken;
        for (const Scenario::Step &step : Scenario::randomScript(seed).m_steps) {
            const Scenario::ControlProcess *control = std::get_if<Scenario::ControlProcess>(&step.m_verb);
            if (!control) {
                continue;
            }
            const bool breaks = control->m_action == Scenario::ProcessAction::Kill || control->m_action == Scenario::ProcessAction::Freeze;
            if (breaks) {
                broken.push_back(control->m_process);
            } else {
                REQUIRE(std::erase(broken, control->m_process) == 1);
            }
        }
        REQUIRE(broken.empty());
    }
}
