/// @file Strategies for the choice of an endpoint.

#include "LibRouting/EndpointSelection.h"

#include <algorithm>
#include <limits>

namespace Routing {

namespace {

/// Random samples before every member of the group is looked at.
constexpr int MaximumSamples = 6;
/// Load above the mean, relative to it, up to which affinity outweighs balance.
constexpr double AffinitySlack = 0.25;
/// An endpoint whose calls take this many times the mean does not keep its prefixes.
constexpr double SlowFactor = 2;
/// Bytes of the prompt that count as its prefix.
constexpr std::size_t PrefixBytes = 256;

/// Everything that the strategies look at for one request.
struct Choice
{
    const EndpointTable &m_table;
    std::span<const EndpointIndex> m_members;
    const GroupKey &m_group;
    const SelectionRequest &m_request;
    Core::Instant m_now;
};

bool mayTake(const Choice &choice, const EndpointView &endpoint)
{
    if (!isEligible(endpoint, choice.m_group.m_digest, choice.m_now)) {
        return false;
    }
    if (choice.m_request.m_needsFreeSlot && !hasFreeSlot(endpoint)) {
        return false;
    }
    const std::span<const std::string> excluded = choice.m_request.m_excluded;
    return std::find(excluded.begin(), excluded.end(), endpoint.m_member.m_id) == excluded.end();
}

/// The member with the least cost among those that may take the request; ties go to a random one.
template <typename Cost>
std::optional<EndpointIndex> cheapest(const Choice &choice, Core::Random &random, Cost cost)
{
    std::optional<EndpointIndex> best;
    double bestCost = std::numeric_limits<double>::infinity();
    std::uint64_t ties = 0;
    for (const EndpointIndex index : choice.m_members) {
        const EndpointView &endpoint = choice.m_table.at(index);
        if (!mayTake(choice, endpoint)) {
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

EndpointIndex sample(const Choice &choice, Core::Random &random)
{
    return choice.m_members[random.below(choice.m_members.size())];
}

std::optional<EndpointIndex> pickRandom(const Choice &choice, Core::Random &random)
{
    return cheapest(choice, random, [](const EndpointView &) { return 0.0; });
}

std::optional<EndpointIndex> pickLeastReported(const Choice &choice, Core::Random &random)
{
    return cheapest(choice, random, [](const EndpointView &endpoint) {
        return static_cast<double>(endpoint.m_load.m_running + endpoint.m_load.m_queued) / std::max(1U, endpoint.m_load.m_capacity);
    });
}

std::optional<EndpointIndex> pickFastestFree(const Choice &choice, Core::Random &random)
{
    return cheapest(choice, random, [](const EndpointView &endpoint) { return endpoint.m_meanCallSeconds; });
}

/// Samples until two members may take the request. Falls back to a look at all, so that the last endpoint with room is found too.
std::optional<EndpointIndex> pickOfTwo(const Choice &choice, Core::Random &random)
{
    std::optional<EndpointIndex> first;
    for (int attempt = 0; attempt < MaximumSamples; ++attempt) {
        const EndpointIndex index = sample(choice, random);
        if (!mayTake(choice, choice.m_table.at(index)) || (first && *first == index)) {
            continue;
        }
        if (!first) {
            first = index;
            continue;
        }
        return estimatedCost(choice.m_table.at(index)) < estimatedCost(choice.m_table.at(*first)) ? index : *first;
    }
    return first ? first : cheapest(choice, random, estimatedCost);
}

std::uint64_t affinityWeight(std::uint64_t affinity, std::uint64_t endpointHash)
{
    Core::Random mixer(affinity ^ endpointHash);
    return mixer.next();
}

/// The prefix's endpoint by rendezvous hashing, if its load is within the slack above the mean of those that may take the request.
std::optional<EndpointIndex> pickByAffinity(const Choice &choice, Core::Random &random)
{
    std::optional<EndpointIndex> owner;
    std::uint64_t ownerWeight = 0;
    std::uint64_t requests = 0;
    std::uint64_t capacity = 0;
    std::uint64_t available = 0;
    double seconds = 0;
    for (const EndpointIndex index : choice.m_members) {
        const EndpointView &endpoint = choice.m_table.at(index);
        if (!isAvailable(endpoint, choice.m_now)) {
            continue;
        }
        requests += estimatedRequests(endpoint);
        seconds += endpoint.m_meanCallSeconds;
        available += 1;
        capacity += std::max(1U, endpoint.m_load.m_capacity);
        const std::uint64_t weight = affinityWeight(choice.m_request.m_affinity, endpoint.m_hash);
        if (!owner || weight > ownerWeight) {
            owner = index;
            ownerWeight = weight;
        }
    }
    if (!owner || !mayTake(choice, choice.m_table.at(*owner))) {
        return pickOfTwo(choice, random);
    }
    const EndpointView &endpoint = choice.m_table.at(*owner);
    const double bound = (1 + AffinitySlack) * static_cast<double>(requests + 1) / static_cast<double>(capacity);
    const bool withinBound = estimatedRequests(endpoint) == 0 || estimatedLoad(endpoint) <= bound;
    const bool isSlow = endpoint.m_meanCallSeconds > SlowFactor * seconds / static_cast<double>(available);
    return withinBound && !isSlow ? owner : pickOfTwo(choice, random);
}

}

bool waitsForFreeSlot(Strategy strategy)
{
    return strategy != Strategy::Random && strategy != Strategy::LeastReportedLoad;
}

std::optional<EndpointIndex>
selectEndpoint(Strategy strategy, const EndpointTable &table, const GroupKey &group, const SelectionRequest &request, Core::Instant now, Core::Random &random)
{
    const Choice choice{table, table.group(group), group, request, now};
    if (choice.m_members.empty()) {
        return std::nullopt;
    }
    switch (strategy) {
    case Strategy::Random:
        return pickRandom(choice, random);
    case Strategy::LeastReportedLoad:
        return pickLeastReported(choice, random);
    case Strategy::JoinFastestFreeServer:
        return pickFastestFree(choice, random);
    case Strategy::PowerOfTwoChoices:
        return pickOfTwo(choice, random);
    case Strategy::PrefixAffinity:
        return request.m_affinity == 0 ? pickOfTwo(choice, random) : pickByAffinity(choice, random);
    }
    return std::nullopt;
}

std::uint64_t affinityHash(std::string_view account, std::string_view prompt)
{
    const std::uint64_t hash = Core::stableHash(prompt.substr(0, PrefixBytes), Core::stableHash(account));
    return hash == 0 ? 1 : hash;
}

}
