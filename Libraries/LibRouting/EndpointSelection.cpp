/// @file Strategies for the selection of an endpoint.

#include "LibRouting/EndpointSelection.h"

#include <algorithm>
#include <limits>

namespace Routing {

namespace {

/// Random samples before all members of the group are scanned.
constexpr int MaximumSamples = 6;
/// A request goes to its prefix's endpoint while the endpoint's load exceeds the mean load by at most this fraction of the mean.
constexpr double AffinitySlack = 0.25;
/// An endpoint whose mean call time exceeds the group's mean by this factor gets no requests by prefix affinity.
constexpr double SlowFactor = 2;
/// Leading bytes of the prompt that count as its prefix.
constexpr std::size_t PrefixBytes = 256;

/// Inputs of the strategies for one request.
struct SelectionContext
{
    const EndpointTable &m_table;
    std::span<const EndpointIndex> m_members;
    const GroupKey &m_group;
    const SelectionRequest &m_request;
    Core::Instant m_now;
};

bool isCandidate(const SelectionContext &context, const EndpointView &endpoint)
{
    if (!isEligible(endpoint, context.m_group.m_digest, context.m_now)) {
        return false;
    }
    if (context.m_request.m_needsFreeSlot && !hasFreeSlot(endpoint)) {
        return false;
    }
    const std::span<const std::string> excluded = context.m_request.m_excluded;
    return std::find(excluded.begin(), excluded.end(), endpoint.m_member.m_id) == excluded.end();
}

/// Returns the candidate with the lowest cost; ties are broken at random.
template <typename Cost>
std::optional<EndpointIndex> selectCheapest(const SelectionContext &context, Core::Random &random, Cost cost)
{
    std::optional<EndpointIndex> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::uint64_t ties = 0;
    for (const EndpointIndex index : context.m_members) {
        const EndpointView &endpoint = context.m_table.at(index);
        if (!isCandidate(context, endpoint)) {
            continue;
        }
        const double value = cost(endpoint);
        ties = value == bestCost ? ties + 1 : 1;
        if (value < bestCost || (value == bestCost && random.below(ties) == 0)) {
            best = index;
            bestCost = value;
        }
    }
    return best;
}

EndpointIndex sample(const SelectionContext &context, Core::Random &random)
{
    return context.m_members[random.below(context.m_members.size())];
}

std::optional<EndpointIndex> selectRandom(const SelectionContext &context, Core::Random &random)
{
    return selectCheapest(context, random, [](const EndpointView &) { return 0.0; });
}

std::optional<EndpointIndex> selectLeastReported(const SelectionContext &context, Core::Random &random)
{
    return selectCheapest(context, random, [](const EndpointView &endpoint) {
        return static_cast<double>(endpoint.m_load.m_running + endpoint.m_load.m_queued) / std::max(1U, endpoint.m_load.m_capacity);
    });
}

std::optional<EndpointIndex> selectFastestFree(const SelectionContext &context, Core::Random &random)
{
    return selectCheapest(context, random, [](const EndpointView &endpoint) { return endpoint.m_meanCallSeconds; });
}

/// Samples until two candidates are found and returns the cheaper one. Scans all members if none is found, so that the last free slot is used too.
std::optional<EndpointIndex> selectOfTwo(const SelectionContext &context, Core::Random &random)
{
    std::optional<EndpointIndex> first;
    for (int attempt = 0; attempt < MaximumSamples; ++attempt) {
        const EndpointIndex index = sample(context, random);
        if (!isCandidate(context, context.m_table.at(index)) || (first && *first == index)) {
            continue;
        }
        if (!first) {
            first = index;
            continue;
        }
        return estimatedCost(context.m_table.at(index)) < estimatedCost(context.m_table.at(*first)) ? index : *first;
    }
    return first ? first : selectCheapest(context, random, estimatedCost);
}

std::uint64_t affinityWeight(std::uint64_t affinity, std::uint64_t endpointHash)
{
    Core::Random mixer(affinity ^ endpointHash);
    return mixer.next();
}

/// Returns the prefix's endpoint by rendezvous hashing. Falls back to selectOfTwo() if that endpoint cannot take the request, is slow, or has a load
/// that exceeds the mean of the available members by more than AffinitySlack.
std::optional<EndpointIndex> selectByAffinity(const SelectionContext &context, Core::Random &random)
{
    std::optional<EndpointIndex> owner;
    std::uint64_t ownerWeight = 0;
    std::uint64_t requests = 0;
    std::uint64_t capacity = 0;
    std::uint64_t available = 0;
    double seconds = 0;
    for (const EndpointIndex index : context.m_members) {
        const EndpointView &endpoint = context.m_table.at(index);
        if (!isAvailable(endpoint, context.m_now)) {
            continue;
        }
        requests += estimatedRequests(endpoint);
        seconds += endpoint.m_meanCallSeconds;
        available += 1;
        capacity += std::max(1U, endpoint.m_load.m_capacity);
        const std::uint64_t weight = affinityWeight(context.m_request.m_affinity, endpoint.m_hash);
        if (!owner || weight > ownerWeight) {
            owner = index;
            ownerWeight = weight;
        }
    }
    if (!owner || !isCandidate(context, context.m_table.at(*owner))) {
        return selectOfTwo(context, random);
    }
    const EndpointView &endpoint = context.m_table.at(*owner);
    const double bound = (1 + AffinitySlack) * static_cast<double>(requests + 1) / static_cast<double>(capacity);
    const bool withinBound = estimatedRequests(endpoint) == 0 || estimatedLoad(endpoint) <= bound;
    const bool isSlow = endpoint.m_meanCallSeconds > SlowFactor * seconds / static_cast<double>(available);
    return withinBound && !isSlow ? owner : selectOfTwo(context, random);
}

}

bool waitsForFreeSlot(Strategy strategy)
{
    return strategy != Strategy::Random && strategy != Strategy::LeastReportedLoad;
}

std::optional<EndpointIndex>
selectEndpoint(Strategy strategy, const EndpointTable &table, const GroupKey &group, const SelectionRequest &request, Core::Instant now, Core::Random &random)
{
    const SelectionContext context{table, table.group(group), group, request, now};
    if (context.m_members.empty()) {
        return std::nullopt;
    }
    switch (strategy) {
    case Strategy::Random:
        return selectRandom(context, random);
    case Strategy::LeastReportedLoad:
        return selectLeastReported(context, random);
    case Strategy::JoinFastestFreeServer:
        return selectFastestFree(context, random);
    case Strategy::PowerOfTwoChoices:
        return selectOfTwo(context, random);
    case Strategy::PrefixAffinity:
        return request.m_affinity == 0 ? selectOfTwo(context, random) : selectByAffinity(context, random);
    }
    return std::nullopt;
}

std::uint64_t affinityHash(std::string_view account, std::string_view prompt)
{
    const std::uint64_t hash = Core::stableHash(prompt.substr(0, PrefixBytes), Core::stableHash(account));
    return hash == 0 ? 1 : hash;
}

}
