/// @file Idempotency keys as callers send them, and the epoch that each key contains.
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
 * The position in the claims stream at which a key was issued; the key cannot have been claimed before it.
 *
 * Offsets alone don't determine when a key was issued, since a log that has lost records assigns their offsets again. The generation is therefore
 * increased each time a loss is detected.
 */
struct Epoch
{
    std::uint64_t m_generation = 0;
    Offset m_offset = 0; ///< Newest record of the stream when the epoch was issued.

    auto operator<=>(const Epoch &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("generation", m_generation), MSGPACK_NVP("offset", m_offset));
};

/// Returns "offset", or "offset-generation" if the generation is not 0.
std::string formatEpoch(const Epoch &epoch);

/// A key that a caller sent.
struct ClaimKey
{
    Epoch m_epoch;
    std::string m_text; ///< The complete key, including the epoch.

    bool operator==(const ClaimKey &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("epoch", m_epoch), MSGPACK_NVP("text", m_text));
};

inline constexpr std::size_t MaximumKeyBytes = 256;

/// Parses "E.text", where E is an epoch. Fails with InvalidInput, or with Unavailable if E is empty.
Core::Result<ClaimKey> parseClaimKey(std::string_view text);

/// Returns the key under which the claim is made, which includes the account and the service so that equal texts of different ones don't conflict.
ClaimKey scopedKey(const ClaimKey &key, const std::string &account, const std::string &service);

}
