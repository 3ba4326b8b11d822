/// @file Generation of the deterministic tokens.

#include "LibStandIn/Tokens.h"

#include "LibCore/Random.h"

#include <iomanip>
#include <sstream>

namespace StandIn {

namespace {

constexpr std::size_t WeightsPrefixLength = 8;
/// 2^64 divided by the golden ratio; spreads consecutive indexes over the hash seeds.
constexpr std::uint64_t IndexStep = 0x9e3779b97f4a7c15ULL;

}

std::string questionName(std::string_view account, std::string_view prompt)
{
    constexpr int digits = 16;
    std::ostringstream text;
    text << std::hex << std::setw(digits) << std::setfill('0') << Core::stableHash(prompt, Core::stableHash(account));
    return text.str();
}

std::string questionPart(std::string_view account, std::string_view prompt, std::uint64_t index)
{
    const std::uint64_t hash = Core::stableHash(prompt, Core::stableHash(account) + index * IndexStep);
    std::ostringstream text;
    text << std::hex << std::setw(8) << std::setfill('0') << (hash >> 32U);
    return text.str();
}

std::string generateToken(std::string_view account, std::string_view prompt, std::uint64_t index, std::string_view weightsDigest)
{
    return questionPart(account, prompt, index) + "/" + std::string(weightsDigest.substr(0, WeightsPrefixLength)) + " ";
}

}
