/// @file Idempotency keys as callers send them, and the epoch that each carries.
#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace Claims {

/// Offset in the claims stream; 0 means none.
using Offset = std::uint64_t;

/**
 * A point in the claims stream before which a key cannot have been claimed.
 *
 * Offsets alone don't say when a key was made, since a log that lost records hands their offsets out again; the generation grows each time that
 * was noticed.
 */
struct Epoch
{
    std::uint64_t m_generation = 0;
    Offset m_offset = 0; ///< Newest record of the stream when the epoch was handed out.

    auto operator<=>(const Epoch &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("generation", m_generation), MSGPACK_NVP("offset", m_offset));
};

/// "offset", or "offset-generation" if the generation is not 0.
std::string formatEpoch(const Epoch &epoch);

/// A key that a caller sent.
struct ClaimKey
{
    Epoch m_epoch;
    std::string m_text; ///< The whole key, epoch included.

    bool operator==(const ClaimKey &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("epoch", m_epoch), MSGPACK_NVP("text", m_text));
};

inline constexpr std::size_t MaximumKeyBytes = 256;

/// Reads "E.text". Fails with InvalidInput, or with Unavailable if E is empty.
Core::Result<ClaimKey> parseClaimKey(std::string_view text);

/// The key as it is claimed: two accounts, or two services, may use the same text without meeting.
ClaimKey scopedKey(const ClaimKey &key, const std::string &account, const std::string &service);

}
