/// @file Plans spread replicas over failure domains, share them between accounts, and move as few as possible.

#include "Examples.h"
#include "LibControl/Planner.h"

#include <catch2/catch.hpp>
#include <set>

using namespace Examples;

namespace {

const std::vector<std::string> Domains = {"hcm-a", "hanoi-a", "danang-a"};

Control::ControlState stateWith(const std::vector<Control::AccountParameters> &accounts)
{
    Control::ControlState state;
    applyNext(state, makePublishRecord("r1", 0, makeTemplate("t", accounts)));
    return state;
}

std::set<std::string> instancesOf(const Control::Plan &plan, char digest)
{
    std::set<std::string> instances;
    for (const Control::Deployment &deployment : plan.m_deployments) {
        if (deployment.m_digest == std::string(64, digest)) {
            for (const Control::PlannedReplica &replica : deployment.m_replicas) {
                instances.insert(replica.m_instance);
            }
        }
    }
    return instances;
}

std::map<std::string, int> replicasByDomain(const Control::Plan &plan)
{
    std::map<std::string, int> counts;
    for (const Control::Deployment &deployment : plan.m_deployments) {
        for (const Control::PlannedReplica &replica : deployment.m_replicas) {
            ++counts[replica.m_failureDomain];
        }
    }
    return counts;
}

/// Puts the plan in force.
void putInForce(Control::ControlState &state, const Control::Plan &plan)
{
    REQUIRE(applyNext(state, Control::Record{"plan-" + std::to_string(state.m_applied), "e", Control::PublishPlan{plan.m_offset, plan}}).m_accepted);
}

std::size_t countMoves(const Control::Plan &before, const Control::Plan &after, char digest)
{
    const std::set<std::string> old = instancesOf(before, digest);
    std::size_t moves = 0;
    for (const std::string &instance : instancesOf(after, digest)) {
        moves += old.contains(instance) ? 0 : 1;
    }
    return moves;
}

}

TEST_CASE("replicas spread evenly over the allowed failure domains")
{
    const Control::Plan plan = Control::planService("drafts", stateWith({account("a", '1', 7)}), fleet(30, Domains));
    REQUIRE(instancesOf(plan, '1').size() == 7);
    for (const std::pair<const std::string, int> &entry : replicasByDomain(plan)) {
        REQUIRE(entry.second >= 2);
        REQUIRE(entry.second <= 3);
    }
    const Control::Plan narrow = Control::planService("drafts", stateWith({account("a", '1', 7, {"hcm-a"})}), fleet(30, Domains));
    REQUIRE(replicasByDomain(narrow) == std::map<std::string, int>{{"hcm-a", 7}});
}

TEST_CASE("accounts that request the same digest share replicas, and different digests use different instances while there are enough")
{
    const Control::ControlState state = stateWith({account("a", '1', 6), account("b", '1', 3), account("c", '2', 6)});
    const Control::Plan plan = Control::planService("drafts", state, fleet(12, Domains));
    REQUIRE(instancesOf(plan, '1').size() == 6);
    REQUIRE(instancesOf(plan, '2').size() == 6);
    std::set<std::string> all = instancesOf(plan, '1');
    all.merge(instancesOf(plan, '2'));
    REQUIRE(all.size() == 12);
}

TEST_CASE("when an instance fails, only its own replicas move")
{
    // One instance fails. If the plan moved other replicas too, many instances would transfer weights without need.
    Control::ControlState state = stateWith({account("a", '1', 20), account("b", '2', 20)});
    std::vector<Protocol::Member> members = fleet(48, Domains);
    const Control::Plan before = Control::planService("drafts", state, members);
    putInForce(state, before);
    const std::string failedInstance = *instancesOf(before, '1').begin();
    std::erase_if(members, [&failedInstance](const Protocol::Member &member) { return member.m_id == failedInstance; });
    const Control::Plan after = Control::planService("drafts", state, members);
    REQUIRE(countMoves(before, after, '1') == 1);
    REQUIRE(countMoves(before, after, '2') == 0);
}

TEST_CASE("leaving instances and instances of other services get no replicas")
{
    std::vector<Protocol::Member> members = fleet(6, Domains);
    members[0].m_leaving = true;
    members.push_back(agent(100, "hcm-a", "other"));
    const Control::Plan plan = Control::planService("drafts", stateWith({account("a", '1', 50)}), members);
    REQUIRE(instancesOf(plan, '1') == std::set<std::string>{"agent-1", "agent-2", "agent-3", "agent-4", "agent-5"});
}

TEST_CASE("a plan does not depend on the order of members, and a plan in force is not out of date")
{
    Control::ControlState state = stateWith({account("a", '1', 9), account("b", '2', 5), account("c", '3', 30)});
    std::vector<Protocol::Member> members = fleet(31, Domains);
    const Control::Plan plan = Control::planService("drafts", state, members);
    std::reverse(members.begin(), members.end());
    REQUIRE(Control::planService("drafts", state, members) == plan);
    REQUIRE(Control::isPlanOutOfDate(state, plan));
    putInForce(state, plan);
    REQUIRE_FALSE(Control::isPlanOutOfDate(state, Control::planService("drafts", state, members)));
}

TEST_CASE("a new version is placed on the instances that hold the old one")
{
    Control::ControlState state = stateWith({account("a", '1', 8)});
    const std::vector<Protocol::Member> members = fleet(24, Domains);
    const Control::Plan before = Control::planService("drafts", state, members);
    putInForce(state, before);
    applyNext(state, makePublishRecord("r2", 1, makeTemplate("t", {account("a", '2', 8)})));
    const Control::Plan after = Control::planService("drafts", state, members);
    REQUIRE(instancesOf(after, '2') == instancesOf(before, '1'));
}
