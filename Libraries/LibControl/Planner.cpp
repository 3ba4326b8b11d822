/// @file Implementation of planning.

#include "LibControl/Planner.h"
#include "LibCore/Random.h"

#include <set>
#include <unordered_map>

namespace Control {

namespace {

/// An instance that may hold replicas, with what the plan being made has put on it.
struct Candidate
{
    const Protocol::Member *m_member = nullptr;
    std::set<std::string> m_previousDigests;
    std::set<std::string> m_previousModels;
    std::set<std::string> m_digests; ///< Planned so far.
};

/// What one account wants, with the policy of its template.
struct Wish
{
    const AccountParameters *m_parameters = nullptr;
    const Template *m_template = nullptr;
};

using Candidates = std::vector<Candidate>;

Candidates findCandidates(const std::string &service, std::span<const Protocol::Member> members, const Plan *previous)
{
    Candidates candidates;
    for (const Protocol::Member &member : members) {
        const bool isEligible = member.m_role == Protocol::Role::Agent && member.m_service == service && !member.m_leaving;
        if (isEligible) {
            candidates.push_back(Candidate{&member, {}, {}, {}});
        }
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &left, const Candidate &right) { return left.m_member->m_id < right.m_member->m_id; });
    if (!previous) {
        return candidates;
    }
    std::unordered_map<std::string_view, Candidate *> byInstance;
    for (Candidate &candidate : candidates) {
        byInstance[candidate.m_member->m_id] = &candidate;
    }
    for (const Deployment &deployment : previous->m_deployments) {
        for (const PlannedReplica &replica : deployment.m_replicas) {
            const std::unordered_map<std::string_view, Candidate *>::iterator found = byInstance.find(replica.m_instance);
            if (found != byInstance.end()) {
                found->second->m_previousDigests.insert(deployment.m_digest);
                found->second->m_previousModels.insert(deployment.m_model);
            }
        }
    }
    return candidates;
}

std::vector<Wish> collectWishes(const std::string &service, const ControlState &state)
{
    std::vector<Wish> wishes;
    for (const std::pair<const std::string, AcceptedTemplate> &entry : state.m_templates) {
        const Template &accepted = entry.second.m_template;
        if (accepted.m_service != service || accepted.m_kind != ServiceKind::Model) {
            continue;
        }
        for (const AccountParameters &parameters : accepted.m_accounts) {
            wishes.push_back(Wish{&parameters, &accepted});
        }
    }
    // Large wishes first, so that small ones find their replicas among those already placed.
    std::stable_sort(wishes.begin(), wishes.end(), [](const Wish &left, const Wish &right) {
        if (left.m_parameters->m_replicas != right.m_parameters->m_replicas) {
            return left.m_parameters->m_replicas > right.m_parameters->m_replicas;
        }
        return left.m_parameters->m_account < right.m_parameters->m_account;
    });
    return wishes;
}

bool isAllowed(const AccountParameters &parameters, const std::string &failureDomain)
{
    const std::vector<std::string> &domains = parameters.m_failureDomains;
    return domains.empty() || std::find(domains.begin(), domains.end(), failureDomain) != domains.end();
}

/// How good a place a candidate is for one digest; the smallest goes first.
struct Rank
{
    bool m_isNew = true; ///< Nobody has planned the digest there yet.
    bool m_wasElsewhere = true; ///< The plan before had not put the digest there.
    std::size_t m_otherDigests = 0;
    bool m_heldOtherModel = true; ///< It held no version of the same model, which a new one could replace.
    std::uint64_t m_weight = 0; ///< Inverted rendezvous weight.
    std::size_t m_index = 0; ///< Of the candidate.

    std::strong_ordering operator<=>(const Rank &) const = default;
};

Rank rankOf(const Candidate &candidate, std::size_t index, const AccountParameters &wish)
{
    Rank rank;
    rank.m_isNew = !candidate.m_digests.contains(wish.m_digest);
    rank.m_wasElsewhere = !candidate.m_previousDigests.contains(wish.m_digest);
    rank.m_otherDigests = candidate.m_digests.size();
    rank.m_heldOtherModel = !candidate.m_previousModels.contains(wish.m_model);
    rank.m_weight = ~Core::rendezvousWeight(wish.m_digest, candidate.m_member->m_id);
    rank.m_index = index;
    return rank;
}

/// The candidates of one failure domain, best first, and how many of them are taken.
struct DomainQueue
{
    std::string m_failureDomain;
    std::vector<Rank> m_ranks; ///< Sorted.
    std::size_t m_taken = 0;

    bool isExhausted() const
    {
        return m_taken == m_ranks.size();
    }
};

std::vector<DomainQueue> queueByDomain(const Candidates &candidates, const AccountParameters &wish)
{
    std::map<std::string, DomainQueue> queues;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string &domain = candidates[index].m_member->m_failureDomain;
        if (isAllowed(wish, domain)) {
            queues[domain].m_ranks.push_back(rankOf(candidates[index], index, wish));
        }
    }
    std::vector<DomainQueue> result;
    for (std::pair<const std::string, DomainQueue> &entry : queues) {
        entry.second.m_failureDomain = entry.first;
        std::sort(entry.second.m_ranks.begin(), entry.second.m_ranks.end());
        result.push_back(std::move(entry.second));
    }
    return result;
}

/// Next failure domain to take from: the one with fewest replicas; among those, the one whose best candidate ranks first.
DomainQueue *nextQueue(std::vector<DomainQueue> &queues)
{
    DomainQueue *best = nullptr;
    for (DomainQueue &queue : queues) {
        if (queue.isExhausted()) {
            continue;
        }
        const bool isBetter =
            !best || queue.m_taken < best->m_taken || (queue.m_taken == best->m_taken && queue.m_ranks[queue.m_taken] < best->m_ranks[best->m_taken]);
        best = isBetter ? &queue : best;
    }
    return best;
}

void place(const Wish &wish, Candidates &candidates)
{
    std::vector<DomainQueue> queues = queueByDomain(candidates, *wish.m_parameters);
    for (std::uint32_t replica = 0; replica < wish.m_parameters->m_replicas; ++replica) {
        DomainQueue *queue = nextQueue(queues);
        if (!queue) {
            return;
        }
        const std::size_t index = queue->m_ranks[queue->m_taken].m_index;
        candidates[index].m_digests.insert(wish.m_parameters->m_digest);
        ++queue->m_taken;
    }
}

/// A deployment for each digest; where templates differ in policy, the one that spends more at the origin holds.
std::map<std::string, Deployment> makeDeployments(const std::vector<Wish> &wishes)
{
    std::map<std::string, Deployment> deployments;
    for (const Wish &wish : wishes) {
        const AccountParameters &parameters = *wish.m_parameters;
        Deployment &deployment = deployments[parameters.m_digest];
        const bool isFirst = deployment.m_digest.empty();
        if (isFirst || std::pair(parameters.m_model, parameters.m_version) < std::pair(deployment.m_model, deployment.m_version)) {
            deployment.m_model = parameters.m_model;
            deployment.m_version = parameters.m_version;
        }
        deployment.m_digest = parameters.m_digest;
        deployment.m_policy = std::max(deployment.m_policy, wish.m_template->m_policy);
        deployment.m_originCopies = std::max(deployment.m_originCopies, wish.m_template->m_originCopies);
    }
    return deployments;
}

const Plan *findPlan(const ControlState &state, const std::string &service)
{
    const std::map<std::string, Plan>::const_iterator found = state.m_plans.find(service);
    return found == state.m_plans.end() ? nullptr : &found->second;
}

}

Plan planService(const std::string &service, const ControlState &state, std::span<const Protocol::Member> members)
{
    const Plan *previous = findPlan(state, service);
    const std::vector<Wish> wishes = collectWishes(service, state);
    Candidates candidates = findCandidates(service, members, previous);
    for (const Wish &wish : wishes) {
        place(wish, candidates);
    }
    std::map<std::string, Deployment> deployments = makeDeployments(wishes);
    for (const Candidate &candidate : candidates) {
        const Protocol::Member &member = *candidate.m_member;
        for (const std::string &digest : candidate.m_digests) {
            deployments[digest].m_replicas.push_back(PlannedReplica{member.m_id, member.m_region, member.m_failureDomain, member.m_wire});
        }
    }
    Plan plan;
    plan.m_service = service;
    plan.m_offset = previous ? previous->m_offset : 0;
    plan.m_basedOnConfiguration = configurationRevision(state, service);
    for (std::pair<const std::string, Deployment> &entry : deployments) {
        plan.m_deployments.push_back(std::move(entry.second));
    }
    return plan;
}

bool isPlanOutOfDate(const ControlState &state, const Plan &wanted)
{
    const Plan *current = findPlan(state, wanted.m_service);
    if (!current) {
        return !wanted.m_deployments.empty();
    }
    return current->m_deployments != wanted.m_deployments;
}

std::vector<std::string> plannedServices(const ControlState &state)
{
    std::set<std::string> services;
    for (const std::pair<const std::string, AcceptedTemplate> &entry : state.m_templates) {
        services.insert(entry.second.m_template.m_service);
    }
    for (const std::pair<const std::string, Plan> &entry : state.m_plans) {
        services.insert(entry.first);
    }
    return std::vector<std::string>(services.begin(), services.end());
}

}
