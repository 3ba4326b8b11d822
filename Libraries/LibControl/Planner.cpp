/// @file Implementation of the planner.

#include "LibControl/Planner.h"
#include "LibCore/Random.h"

#include <set>
#include <unordered_map>

namespace Control {

namespace {

/// An instance that may hold replicas, with the digests placed on it by the plan in progress.
struct Candidate
{
    const Protocol::Member *m_member = nullptr;
    std::set<std::string> m_previousDigests;
    std::set<std::string> m_previousModels;
    std::set<std::string> m_digests; ///< Placed by the plan in progress.
};

/// The replicas that one account requests, with the template that sets the policy.
struct ReplicaRequest
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

std::vector<ReplicaRequest> collectReplicaRequests(const std::string &service, const ControlState &state)
{
    std::vector<ReplicaRequest> requests;
    for (const std::pair<const std::string, AcceptedTemplate> &entry : state.m_templates) {
        const Template &accepted = entry.second.m_template;
        if (accepted.m_service != service || accepted.m_kind != ServiceKind::Model) {
            continue;
        }
        for (const AccountParameters &parameters : accepted.m_accounts) {
            requests.push_back(ReplicaRequest{&parameters, &accepted});
        }
    }
    // Large requests come first, so that small ones can share replicas that are already placed.
    std::stable_sort(requests.begin(), requests.end(), [](const ReplicaRequest &left, const ReplicaRequest &right) {
        if (left.m_parameters->m_replicas != right.m_parameters->m_replicas) {
            return left.m_parameters->m_replicas > right.m_parameters->m_replicas;
        }
        return left.m_parameters->m_account < right.m_parameters->m_account;
    });
    return requests;
}

bool isAllowed(const AccountParameters &parameters, const std::string &failureDomain)
{
    const std::vector<std::string> &domains = parameters.m_failureDomains;
    return domains.empty() || std::find(domains.begin(), domains.end(), failureDomain) != domains.end();
}

/// Rank of a candidate for one digest; the smallest is the best.
struct CandidateRank
{
    bool m_isNotPlanned = true; ///< The plan in progress has not placed the digest on the candidate yet.
    bool m_requiresMove = true; ///< The previous plan did not put the digest on the candidate.
    std::size_t m_plannedDigestCount = 0;
    bool m_lacksModel = true; ///< The candidate held no version of the same model that the new one could replace.
    std::uint64_t m_weight = 0; ///< Inverted rendezvous weight.
    std::size_t m_index = 0; ///< Index of the candidate.

    std::strong_ordering operator<=>(const CandidateRank &) const = default;
};

CandidateRank rankCandidate(const Candidate &candidate, std::size_t index, const AccountParameters &request)
{
    CandidateRank rank;
    rank.m_isNotPlanned = !candidate.m_digests.contains(request.m_digest);
    rank.m_requiresMove = !candidate.m_previousDigests.contains(request.m_digest);
    rank.m_plannedDigestCount = candidate.m_digests.size();
    rank.m_lacksModel = !candidate.m_previousModels.contains(request.m_model);
    rank.m_weight = ~Core::rendezvousWeight(request.m_digest, candidate.m_member->m_id);
    rank.m_index = index;
    return rank;
}

/// The candidates of one failure domain, best first, and how many of them are taken.
struct DomainQueue
{
    std::string m_failureDomain;
    std::vector<CandidateRank> m_ranks; ///< Sorted.
    std::size_t m_taken = 0;

    bool isExhausted() const
    {
        return m_taken == m_ranks.size();
    }
};

std::vector<DomainQueue> queueByDomain(const Candidates &candidates, const AccountParameters &request)
{
    std::map<std::string, DomainQueue> queues;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const std::string &domain = candidates[index].m_member->m_failureDomain;
        if (isAllowed(request, domain)) {
            queues[domain].m_ranks.push_back(rankCandidate(candidates[index], index, request));
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

/// Returns the failure domain that gets the next replica, or null: the one with the fewest replicas; among those, the one whose
/// best candidate ranks first.
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

void placeReplicas(const ReplicaRequest &request, Candidates &candidates)
{
    std::vector<DomainQueue> queues = queueByDomain(candidates, *request.m_parameters);
    for (std::uint32_t replica = 0; replica < request.m_parameters->m_replicas; ++replica) {
        DomainQueue *queue = nextQueue(queues);
        if (!queue) {
            return;
        }
        const std::size_t index = queue->m_ranks[queue->m_taken].m_index;
        candidates[index].m_digests.insert(request.m_parameters->m_digest);
        ++queue->m_taken;
    }
}

/// Makes a deployment for each digest. Where templates differ in policy, the one that uses more of the origin applies.
std::map<std::string, Deployment> makeDeployments(const std::vector<ReplicaRequest> &requests)
{
    std::map<std::string, Deployment> deployments;
    for (const ReplicaRequest &request : requests) {
        const AccountParameters &parameters = *request.m_parameters;
        Deployment &deployment = deployments[parameters.m_digest];
        const bool isFirst = deployment.m_digest.empty();
        if (isFirst || std::pair(parameters.m_model, parameters.m_version) < std::pair(deployment.m_model, deployment.m_version)) {
            deployment.m_model = parameters.m_model;
            deployment.m_version = parameters.m_version;
        }
        deployment.m_digest = parameters.m_digest;
        deployment.m_policy = std::max(deployment.m_policy, request.m_template->m_policy);
        deployment.m_originCopies = std::max(deployment.m_originCopies, request.m_template->m_originCopies);
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
    const std::vector<ReplicaRequest> requests = collectReplicaRequests(service, state);
    Candidates candidates = findCandidates(service, members, previous);
    for (const ReplicaRequest &request : requests) {
        placeReplicas(request, candidates);
    }
    std::map<std::string, Deployment> deployments = makeDeployments(requests);
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
