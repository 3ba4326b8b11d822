/// @file IP address and port of a peer.
#pragma once

#include "LibCore/Error.h"

#include <compare>
#include <cstdint>
#include <msgpack.hpp>
#include <string>
#include <string_view>

namespace Core {

/// Address at which a process listens. The host is a numeric IP address, never a name.
struct Address
{
    std::string m_host;
    std::uint16_t m_port = 0;

    auto operator<=>(const Address &) const = default;

    /// Returns "host:port".
    std::string toString() const;

    bool isEmpty() const
    {
        return m_host.empty();
    }

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("host", m_host), MSGPACK_NVP("port", m_port));
};

/// Parses "host:port" with a numeric IPv4 address; fails with InvalidInput.
Result<Address> parseAddress(std::string_view text);

}
