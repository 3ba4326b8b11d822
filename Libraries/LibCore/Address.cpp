/// @file Text form of addresses.

#include "LibCore/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace Core {

std::string Address::toString() const
{
    return m_host + ":" + std::to_string(m_port);
}

Result<Address> parseAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return makeError(ErrorCode::InvalidInput, "parse address", std::string(text), "expected IP-number:port");
    }
    const std::string host(text.substr(0, colon));
    const std::string_view digits = text.substr(colon + 1);
    in_addr ignored{};
    if (::inet_pton(AF_INET, host.c_str(), &ignored) != 1) {
        return makeError(ErrorCode::InvalidInput, "parse address", std::string(text), "the host is not an IP number");
    }
    std::uint16_t port = 0;
    const std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (parsed.ec != std::errc() || parsed.ptr != digits.data() + digits.size() || port == 0) {
        return makeError(ErrorCode::InvalidInput, "parse address", std::string(text), "the port is not a number from 1 to 65535");
    }
    return Address{host, port};
}

}
