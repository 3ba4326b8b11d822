/// @file The prompt prefixes cached by an engine. Logic only, without threads.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace StandIn {

/// Evicts the least recently used prefix when it is full. Not thread-safe.
class PrefixCache
{
public:
    /// Number of bytes at the start of a prompt that form its prefix.
    static constexpr std::size_t PrefixBytes = 64;

    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// Makes the prompt's prefix the most recently used one. Returns true if it was cached before.
    bool touch(std::string_view weightsDigest, std::string_view prompt);

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_byUse; ///< Most recently used first; at most m_capacity entries.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions; ///< Position of each prefix in m_byUse.
};

}
