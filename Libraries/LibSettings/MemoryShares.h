/// @file Divides the memory that a process may use among the kinds of data that it holds for its peers.
#pragma once

#include "LibSettings/Reader.h"

#include <cstddef>

namespace Settings {

/// Limits in bytes. What they leave of the memory is for the program, its state, its log and the free blocks of its allocator.
struct MemoryShares
{
    std::size_t m_requestBytes = 0; ///< Requests of callers, from their heads to the end of their answers.
    std::size_t m_answerBytes = 0; ///< Answers that callers have not read yet.
    std::size_t m_peerBytes = 0; ///< Messages from and to other processes of the system.

    bool operator==(const MemoryShares &) const = default;
};

/// Memory of a process whose settings state none: that of the smallest instance in use.
inline constexpr std::size_t DefaultMemoryMegabytes = 112;
inline constexpr std::size_t BytesPerMegabyte = 1000 * 1000;

MemoryShares divideMemory(std::size_t bytes);

/// Reads the section `memory`, whose field `megabytes` is the limit above which the process would be ended, and divides it.
MemoryShares readMemoryShares(Reader &reader);

}
