/// @file Selection of the agents to watch.

#include "LibEntry/WatchSet.h"
#include "LibCore/Random.h"

#include <algorithm>

namespace Entry {

namespace {

using Agents = std::map<std::string, const Protocol::Member *>;

struct RankedAgent
{
    std::uint64_t m_weight = 0;
    const Protocol::Member *m_member = nullptr;
};

void addHighestRanked(WatchSet &chosen, const std::string &entry, const std::vector<const Protocol::Member *> &candidates, std::size_t count)
{
    std::vector<RankedAgent> ranked;
    for (const Protocol::Member *member : candidates) {
        ranked.push_back(RankedAgent{Core::rendezvousWeight(entry, member->m_id), member});
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedAgent &left, const RankedAgent &right) { return left.m_weight > right.m_weight; });
    for (std::size_t index = 0; index < std::min(count, ranked.size()); ++index) {
        chosen[ranked[index].m_member->m_id] = *ranked[index].m_member;
    }
}

void addPlannedReplicas(WatchSet &chosen, const std::string &entry, const Control::Plan &plan, const Agents &agents, std::size_t perGroup)
{
    for (const Control::Deployment &deployment : plan.m_deployments) {
        std::vector<const Protocol::Member *> candidates;
        for (const Control::PlannedReplica &replica : deployment.m_replicas) {
            const Agents::const_iterator it = agents.find(replica.m_instance);
            if (it != agents.end()) {
                candidates.push_back(it->second);
            }
        }
        addHighestRanked(chosen, entry, candidates, perGroup);
    }
}

}

WatchSet chooseWatchSet(const std::string &entry,
                        const Control::ControlState &state,
                        std::span<const Protocol::Member> members,
                        std::span<const std::string> held,
                        std::size_t perGroup)
{
    std::map<std::string, Agents> services;
    for (const Protocol::Member &member : members) {
        if (member.m_role == Protocol::Role::Agent) {
            services[member.m_service][member.m_id] = &member;
        }
    }
    WatchSet chosen;
    for (const std::pair<const std::string, Agents> &service : services) {
        std::vector<const Protocol::Member *> all;
        for (const std::pair<const std::string, const Protocol::Member *> &agent : service.second) {
            all.push_back(agent.second);
        }
        const std::map<std::string, Control::Plan>::const_iterator plan = state.m_plans.find(service.first);
        const bool hasDeployments = plan != state.m_plans.end() && !plan->second.m_deployments.empty();
        if (all.size() <= perGroup || !hasDeployments) {
            addHighestRanked(chosen, entry, all, perGroup);
            continue;
        }
        addPlannedReplicas(chosen, entry, plan->second, service.second, perGroup);
        for (const std::string &instance : held) {
            const Agents::const_iterator it = service.second.find(instance);
            if (it != service.second.end()) {
                chosen[instance] = *it->second;
            }
        }
    }
    return chosen;
}

}
