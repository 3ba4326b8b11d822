/// @file The order in which a fleet changes versions.

#include "LibStaging/LoadSchedule.h"

#include <catch2/catch.hpp>
#include <set>

namespace {

std::vector<std::string> fleet(std::size_t size)
{
    std::vector<std::string> names;
    for (std::size_t index = 0; index < size; ++index) {
        names.push_back("agent-" + std::to_string(index));
    }
    return names;
}

std::vector<std::string> without(std::vector<std::string> names, const std::string &name)
{
    std::erase(names, name);
    return names;
}

}

TEST_CASE("every agent works out a rank of its own")
{
    constexpr std::size_t size = 27;
    const std::vector<std::string> names = fleet(size);
    std::set<std::size_t> ranks;
    for (const std::string &name : names) {
        ranks.insert(Staging::loadRank(name, without(names, name), 2));
    }
    CHECK(ranks.size() == size);
    CHECK(*ranks.rbegin() == size - 1);
}

TEST_CASE("turns are spread over the time that the bound leaves")
{
    // Engines that changed all at once would leave nobody to answer while they load.
    const Staging::LoadScheduleSettings settings;
    constexpr std::size_t size = 27;
    Core::Duration before{0};
    for (std::size_t rank = 0; rank < size; ++rank) {
        const Core::Duration turn = Staging::loadDelay(rank, size, Core::Duration(0), settings);
        CHECK(turn >= before);
        before = turn;
    }
    CHECK(Staging::loadDelay(0, size, Core::Duration(0), settings) == settings.m_firstDelay);
    CHECK(before == settings.m_lastDelay);
}

TEST_CASE("an older version that was not reached brings the turns forward")
{
    // The engine skipped a version that was declared three seconds earlier. That version's bound holds too, and it passes first.
    const Staging::LoadScheduleSettings settings;
    const Core::Duration head(3000);
    CHECK(Staging::loadDelay(26, 27, head, settings) == settings.m_lastDelay - head);
    CHECK(Staging::loadDelay(0, 27, Core::Duration(60000), settings) == Core::Duration(0));
}

TEST_CASE("a single agent changes as soon as it may")
{
    const Staging::LoadScheduleSettings settings;
    CHECK(Staging::loadDelay(0, 1, Core::Duration(0), settings) == settings.m_firstDelay);
}
