/// @file Identifies requests by their content, so that a request is recognized when its caller sends it again.
#pragma once

#include "LibQuarantine/PromptPart.h"

#include <string_view>

namespace Quarantine {

/// What a caller keeps when it sends a request again. The attempt id, the deadline and the event after which a stream is resumed differ.
struct RequestContent
{
    std::string m_account; ///< Name of the client account; empty for requests without one.
    std::string m_method;
    std::string m_host;
    std::string m_target; ///< Path and query.
    std::vector<std::string> m_promptParts; ///< Ids of all parts, also the last one, as received.
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_answerTokens = 0; ///< Upper bound.

    bool operator==(const RequestContent &) const = default;
};

/// Returns the beginning of the identities of all requests that have this content and any body.
std::string identityPrefix(const RequestContent &content);

/// Returns the identity of the request. It has no service, and takes the place of a part among what endpoints may end under.
PromptPart requestIdentity(const RequestContent &content, std::string_view body);

/// Returns whether this is the identity of a request. No part that a caller supplies is one.
bool isRequestIdentity(const PromptPart &part);

}
