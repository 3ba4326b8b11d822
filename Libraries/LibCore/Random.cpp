/// @file Implementation of stable hashing and the random number generator.

#include "LibCore/Random.h"

#include <array>
#include <random>

namespace Core {

namespace {

constexpr std::uint64_t FnvOffset = 0xcbf29ce484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001b3ULL;
constexpr std::uint64_t GoldenGamma = 0x9e3779b97f4a7c15ULL;

std::uint64_t avalanche(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

}

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = FnvOffset ^ avalanche(seed + GoldenGamma);
    for (const char character : text) {
        hash ^= static_cast<unsigned char>(character);
        hash *= FnvPrime;
    }
    return avalanche(hash);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view node)
{
    return stableHash(node, stableHash(key));
}

std::uint64_t Random::next()
{
    m_state += GoldenGamma;
    return avalanche(m_state);
}

std::uint64_t Random::below(std::uint64_t bound)
{
    return next() % bound;
}

double Random::unit()
{
    constexpr double scale = 1.0 / 9007199254740992.0;
    return static_cast<double>(next() >> 11) * scale;
}

std::string randomIdentifier()
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::random_device device;
    std::string identifier;
    constexpr int words = 4;
    for (int word = 0; word < words; ++word) {
        std::uint32_t bits = device();
        for (int digit = 0; digit < 8; ++digit) {
            identifier += digits[bits & 0xf];
            bits >>= 4;
        }
    }
    return identifier;
}

std::uint64_t freshSeed(std::string_view instance)
{
    return stableHash(std::string(instance) + randomIdentifier());
}

}
