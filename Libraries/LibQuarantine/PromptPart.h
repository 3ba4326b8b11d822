/// @file Names the parts of prompts under which endpoints may end.
#pragma once

#include <compare>
#include <msgpack.hpp>
#include <string>
#include <vector>

namespace Quarantine {

/// A part of the prompts for one service, or the identity of a request (RequestIdentity.h). Parts are supplied by callers.
struct PromptPart
{
    std::string m_service;
    std::string m_id; ///< At most MaximumPartIdLength characters.

    auto operator<=>(const PromptPart &) const = default;

    MSGPACK_DEFINE_ARRAY(m_service, m_id);
};

inline constexpr std::size_t MaximumPartIdLength = 32;
/// Parts of one prompt that are told apart. All further ones count as one part, so that a long list hides none of them.
inline constexpr std::size_t MaximumPartsPerPrompt = 64;

/**
 * Returns the ids under which the parts of a prompt are recorded, each once. @p ids: as received, without the prompt's last part, which belongs to the request
 * itself. Ids are hexadecimal numbers, so the case of their digits and leading zeros make no difference; ids that are too long are replaced by their digest.
 */
std::vector<std::string> normalizedPartIds(const std::vector<std::string> &ids);

}
