/// @file Implementation of the names of parts.

#include "LibQuarantine/PromptPart.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace Quarantine {

namespace {

constexpr const char *FurtherParts = "further-parts"; ///< Not a hexadecimal number, so no caller can send it as the id of a part.

bool isHexadecimal(const std::string &id)
{
    return !id.empty() && id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

std::string normalizedPartId(const std::string &id)
{
    // Other ids are digested, too: they can contain any bytes, and appear in logs.
    if (!isHexadecimal(id) || id.size() > MaximumPartIdLength) {
        return "sha256-" + Core::sha256Hex(id).substr(0, MaximumPartIdLength - std::string("sha256-").size());
    }
    std::string normalized = id.substr(std::min(id.find_first_not_of('0'), id.size() - 1));
    std::transform(normalized.begin(), normalized.end(), normalized.begin(), [](char digit) {
        const bool isUpperCase = digit >= 'A' && digit <= 'F';
        return isUpperCase ? static_cast<char>(digit - 'A' + 'a') : digit;
    });
    return normalized;
}

}

std::vector<std::string> normalizedPartIds(const std::vector<std::string> &ids)
{
    std::vector<std::string> normalized;
    for (const std::string &id : ids) {
        std::string name = normalized.size() < MaximumPartsPerPrompt ? normalizedPartId(id) : std::string(FurtherParts);
        if (std::find(normalized.begin(), normalized.end(), name) != normalized.end()) {
            continue;
        }
        normalized.push_back(std::move(name));
        if (normalized.size() > MaximumPartsPerPrompt) {
            break;
        }
    }
    return normalized;
}

}
