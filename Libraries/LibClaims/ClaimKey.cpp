/// @file Parsing and formatting of keys and epochs.

#include "LibClaims/ClaimKey.h"

#include <algorithm>
#include <charconv>

namespace Claims {

namespace {

Core::Error invalidKey(const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::InvalidInput, "read idempotency key", "", detail);
}

Core::Result<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (text.empty() || result.ec != std::errc() || result.ptr != end) {
        return invalidKey("the key must start with a key_epoch from /v1/addresses and a dot");
    }
    return value;
}

bool isPrintable(char character)
{
    return character > ' ' && character < '\x7f';
}

}

std::string formatEpoch(const Epoch &epoch)
{
    const std::string offset = std::to_string(epoch.m_offset);
    return epoch.m_generation == 0 ? offset : offset + "-" + std::to_string(epoch.m_generation);
}

Core::Result<ClaimKey> parseClaimKey(std::string_view text)
{
    if (text.size() > MaximumKeyBytes) {
        return invalidKey("the key is longer than " + std::to_string(MaximumKeyBytes) + " bytes");
    }
    if (!std::all_of(text.begin(), text.end(), isPrintable)) {
        return invalidKey("the key must be printable ASCII without white space");
    }
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot + 1 == text.size()) {
        return invalidKey("the key must be a key_epoch from /v1/addresses, a dot, and a text of the caller's own");
    }
    if (dot == 0) {
        // The caller was given an empty epoch because no entry could read the claims at that time. The key is well formed but cannot be used.
        return Core::makeError(Core::ErrorCode::Unavailable, "check key", "", "the key has no epoch; ask /v1/addresses for one again");
    }
    const std::string_view epochText = text.substr(0, dot);
    const std::size_t dash = epochText.find('-');
    ClaimKey key;
    key.m_text = std::string(text);
    key.m_epoch.m_offset = BOOST_OUTCOME_TRYX(parseNumber(epochText.substr(0, dash)));
    if (dash != std::string_view::npos) {
        key.m_epoch.m_generation = BOOST_OUTCOME_TRYX(parseNumber(epochText.substr(dash + 1)));
    }
    return key;
}

ClaimKey scopedKey(const ClaimKey &key, const std::string &account, const std::string &service)
{
    // The scoped key is sent in an HTTP header, so it cannot use a control character as separator. The lengths make the parts unambiguous.
    const std::string lengths = std::to_string(account.size()) + "." + std::to_string(service.size());
    return ClaimKey{key.m_epoch, lengths + "/" + account + "/" + service + "/" + key.m_text};
}

}
