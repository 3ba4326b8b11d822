/// @file Selection of feeds, and when a checkpoint is due.

#include "Examples.h"
#include "LibControl/Checkpointer.h"
#include "LibControl/FeedSelection.h"

#include <catch2/catch.hpp>
#include <set>

using namespace Examples;

namespace {

std::vector<Protocol::Member> entries(int count)
{
    std::vector<Protocol::Member> members;
    for (int number = 0; number < count; ++number) {
        Protocol::Member member = agent(number, "hcm-a");
        member.m_id = "entry-" + std::to_string(number);
        member.m_role = Protocol::Role::Entry;
        members.push_back(member);
    }
    return members;
}

}

TEST_CASE("a change known to one entry reaches all other entries, whichever entry is missing")
{
    // While the log is down, entries receive changes only from each other. If the subscriptions formed two separate groups, a
    // change known in one group would not come into force in the other.
    for (int missing = 0; missing < 13; ++missing) {
        std::vector<Protocol::Member> live = entries(13);
        live.erase(live.begin() + missing);
        std::set<Core::Address> reached = {live.front().m_wire};
        for (std::size_t round = 0; round < live.size(); ++round) {
            for (const Protocol::Member &member : live) {
                const std::vector<Core::Address> feeds = Control::selectFeeds(member, live, {}, {}, 2);
                REQUIRE(feeds.size() == 2);
                if (reached.contains(feeds[0]) || reached.contains(feeds[1])) {
                    reached.insert(member.m_wire);
                }
            }
        }
        REQUIRE(reached.size() == live.size());
    }
}

TEST_CASE("agents are distributed over the entries, and avoid one that failed or is leaving")
{
    std::vector<Protocol::Member> known = entries(12);
    std::map<Core::Address, int> subscribers;
    for (const Protocol::Member &member : fleet(1200, {"hcm-a"})) {
        for (const Core::Address &feed : Control::selectFeeds(member, known, {}, {}, 2)) {
            ++subscribers[feed];
        }
    }
    REQUIRE(subscribers.size() == 12);
    for (const std::pair<const Core::Address, int> &entry : subscribers) {
        REQUIRE(entry.second > 120);
        REQUIRE(entry.second < 300);
    }
    const Protocol::Member member = agent(1, "hcm-a");
    const Core::Address first = Control::selectFeeds(member, known, {}, {}, 2).front();
    REQUIRE(Control::selectFeeds(member, known, {}, {first}, 2).front() != first);
    for (Protocol::Member &one : known) {
        one.m_leaving = one.m_wire == first;
    }
    const std::vector<Core::Address> seeds = {first};
    const std::vector<Core::Address> feeds = Control::selectFeeds(member, known, seeds, {}, 12);
    REQUIRE(std::find(feeds.begin(), feeds.end(), first) == feeds.end());
}

TEST_CASE("a checkpoint is due after enough records or time, on the entry that ranks first before the others")
{
    // Without a new checkpoint in time the last one expires, and a new instance cannot recover state from the log.
    const Control::CheckpointerSettings settings;
    Control::CheckpointStatus status;
    REQUIRE_FALSE(Control::isCheckpointDue(status, settings));
    status.m_position = settings.m_recordInterval;
    REQUIRE(Control::isCheckpointDue(status, settings));
    status.m_rank = 1;
    REQUIRE_FALSE(Control::isCheckpointDue(status, settings));
    status.m_sinceLast = settings.m_interval + settings.m_rankDelay;
    REQUIRE(Control::isCheckpointDue(status, settings));
    status.m_lastCheckpoint = status.m_position;
    REQUIRE(Control::isCheckpointDue(status, settings));
    status.m_sinceLast = Core::Duration(0);
    REQUIRE_FALSE(Control::isCheckpointDue(status, settings));
}
