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

TEST_CASE("Load times are spread over the time that is left when the version is staged")
{
    // Guards against engines that all load at the same time, so that none is available for requests. Links of different rates leave different times.
    const Staging::LoadScheduleSettings settings{Core::Duration(10000), Core::Duration(2000)};
    const Core::Duration last(8000);
    constexpr std::size_t size = 27;
    for (const Core::Duration staged : {Core::Duration(500), Core::Duration(3000), Core::Duration(7000)}) {
        Core::Duration previous = staged;
        for (std::size_t rank = 0; rank < size; ++rank) {
            const Core::Duration delay = Staging::loadDelay(rank, size, staged, Core::Duration(0), settings);
            CHECK(delay >= previous);
            CHECK(delay - previous <= (last - staged) / static_cast<std::int64_t>(size - 1) + Core::Duration(1));
            previous = delay;
        }
        CHECK(Staging::loadDelay(0, size, staged, Core::Duration(0), settings) == staged);
        CHECK(previous == last);
    }
}

TEST_CASE("A version that is staged late is loaded at once")
{
    const Staging::LoadScheduleSettings settings{Core::Duration(10000), Core::Duration(2000)};
    CHECK(Staging::loadDelay(26, 27, Core::Duration(9000), Core::Duration(0), settings) == Core::Duration(8000));
}

TEST_CASE("An older version that was not loaded moves the load times forward")
{
    // The engine skipped a version that was declared three seconds earlier. The deadline of that version still applies, and it expires first.
    const Staging::LoadScheduleSettings settings;
    const Core::Duration lead(3000);
    const Core::Duration last = settings.m_versionBound - settings.m_boundMargin;
    CHECK(Staging::loadDelay(26, 27, Core::Duration(1000), lead, settings) == last - lead);
    CHECK(Staging::loadDelay(0, 27, Core::Duration(1000), Core::Duration(60000), settings) == Core::Duration(0));
}

TEST_CASE("A single agent loads as soon as the version is staged")
{
    const Staging::LoadScheduleSettings settings;
    CHECK(Staging::loadDelay(0, 1, Core::Duration(2900), Core::Duration(0), settings) == Core::Duration(2900));
}
