/// @file Tests of the schedule by which a fleet loads a new version.

#include "LibStaging/LoadSchedule.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

std::vector<std::string> agentNames(std::size_t size)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < size; ++index) {
        names.push_back("agent-" + std::to_string(index));
    }
    return names;
}

std::vector<std::string> withoutName(std::vector<std::string> names, const std::string &name)
{
    std::erase(names, name);
    return names;
}

}

TEST_CASE("Every agent computes a distinct rank")
{
    constexpr std::size_t size = 27;
    const std::vector<std::string> names = agentNames(size);
    std::set<std::size_t> ranks;
    for (const std::string &name : names) {
        ranks.insert(Staging::loadRank(name, withoutName(names, name), 2));
    }
    CHECK(ranks.size() == size);
    CHECK(*ranks.rbegin() == size - 1);
}

TEST_CASE("Load times are spread over the time until the deadline")
{
    // Guards against engines that all load at the same time, so that none is available for requests.
    const Staging::LoadScheduleSettings settings;
    constexpr std::size_t size = 27;
    Core::Duration previous{0};
    for (std::size_t rank = 0; rank < size; ++rank) {
        const Core::Duration delay = Staging::loadDelay(rank, size, Core::Duration(0), settings);
        CHECK(delay >= previous);
        previous = delay;
    }
    CHECK(Staging::loadDelay(0, size, Core::Duration(0), settings) == settings.m_firstDelay);
    CHECK(previous == settings.m_lastDelay);
}

TEST_CASE("An older version that was not loaded moves the load times forward")
{
    // The engine skipped a version that was declared three seconds earlier. The deadline of that version still applies, and it expires first.
    const Staging::LoadScheduleSettings settings;
    const Core::Duration lead(3000);
    CHECK(Staging::loadDelay(26, 27, lead, settings) == settings.m_lastDelay - lead);
    CHECK(Staging::loadDelay(0, 27, Core::Duration(60000), settings) == Core::Duration(0));
}

TEST_CASE("A single agent loads at the earliest scheduled time")
{
    const Staging::LoadScheduleSettings settings;
    CHECK(Staging::loadDelay(0, 1, Core::Duration(0), settings) == settings.m_firstDelay);
}
