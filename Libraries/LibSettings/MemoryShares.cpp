/// @file Implementation of the division of a process's memory.

#include "LibSettings/MemoryShares.h"

namespace Settings {

namespace {

constexpr std::size_t Parts = 8;
constexpr std::size_t RequestParts = 3;
constexpr std::size_t AnswerParts = 1;
constexpr std::size_t PeerParts = 1;

}

MemoryShares divideMemory(std::size_t bytes)
{
    const std::size_t part = bytes / Parts;
    return MemoryShares{RequestParts * part, AnswerParts * part, PeerParts * part};
}

MemoryShares readMemoryShares(Reader &reader)
{
    constexpr double leastMegabytes = 16;
    constexpr double mostMegabytes = 1 << 20;
    double megabytes = DefaultMemoryMegabytes;
    reader.section("memory", [&megabytes](Reader &section) { megabytes = section.number("megabytes", leastMegabytes, mostMegabytes, megabytes); });
    return divideMemory(static_cast<std::size_t>(megabytes * BytesPerMegabyte));
}

}
