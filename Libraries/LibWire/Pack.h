/// @file MessagePack encoding of the messages between the system's own processes.
#pragma once

#include "LibCore/Error.h"

#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace Wire {

/// Limits on a message from another process, checked before memory is allocated for it.
inline constexpr std::size_t MaximumNesting = 16;
inline constexpr std::size_t MaximumItems = 1 << 18;

/// Encodes a value type that has MSGPACK_DEFINE_MAP.
template <typename T>
std::string pack(const T &value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return std::string(buffer.data(), buffer.size());
}

/// Decodes a value. Unknown fields are skipped, and missing fields keep their defaults. Fails with Corrupt.
template <typename T>
Core::Result<T> unpack(std::string_view bytes, const std::string &peer)
{
    const msgpack::unpack_limit limit(MaximumItems, MaximumItems, bytes.size(), bytes.size(), MaximumItems, MaximumNesting);
    try {
        const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        T value;
        handle.get().convert(value);
        return value;
    } catch (const std::exception &exception) {
        return Core::makeError(Core::ErrorCode::Corrupt, "decode message", peer, exception.what());
    }
}

}
