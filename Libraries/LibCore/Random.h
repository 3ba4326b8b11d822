/// @file Hashing and random numbers that give the same result on every instance.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Core {

/// 64-bit FNV-1a with a final avalanche; stable across instances and versions.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Rendezvous weight of @p node for @p key: the node with the highest weight owns the key.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view node);

/// Small deterministic generator (splitmix64). Passed to decision logic so that tests can replay a seed.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next();

    /// Uniform in [0, bound); bound must be positive.
    std::uint64_t below(std::uint64_t bound);

    /// Uniform in [0, 1).
    double unit();

private:
    std::uint64_t m_state;
};

/// Keeps a random choice of @p count elements and removes the others.
template <typename T>
void keepRandom(std::vector<T> &items, std::size_t count, Random &random)
{
    const std::size_t kept = std::min(count, items.size());
    for (std::size_t index = 0; index < kept; ++index) {
        std::swap(items[index], items[index + random.below(items.size() - index)]);
    }
    items.resize(kept);
}

/// Returns a seed that differs between instances and between starts of a process.
std::uint64_t freshSeed(std::string_view instance);

/// Returns 128 random bits as 32 lower-case hexadecimal digits, from the system's entropy source.
std::string randomIdentifier();

}
