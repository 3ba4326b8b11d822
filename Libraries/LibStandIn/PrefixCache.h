/// @file The prompt prefixes that an engine remembers in its limited memory: decision logic without threads.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>

namespace StandIn {

/// Least recently used prefixes are forgotten first. Not thread-safe.
class PrefixCache
{
public:
    /// Bytes at the start of a prompt that count as its prefix.
    static constexpr std::size_t PrefixBytes = 64;

    explicit PrefixCache(std::size_t capacity)
        : m_capacity(capacity)
    {
    }

    /// True if the prompt's prefix was known; it is the most recently used afterwards in any case.
    bool touch(std::string_view weightsDigest, std::string_view prompt);

private:
    std::size_t m_capacity;
    std::list<std::uint64_t> m_byUse; ///< Most recent first; never more than m_capacity.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

}
