/// @file Implementation of the identities of requests.

#include "LibQuarantine/RequestIdentity.h"

#include "LibCore/Digest.h"

namespace Quarantine {

namespace {

constexpr std::string_view IdentityStart = "request-"; ///< Not the beginning of a hexadecimal number, so that no id of a part begins like this.
constexpr std::size_t PrefixDigits = 8; ///< Of the digest of the content. A body is digested only if these match.
constexpr std::size_t Digits = MaximumPartIdLength - IdentityStart.size() - PrefixDigits; ///< Of the digest of the content and the body.

/// Adds a field with its length, so that no two contents give the same bytes.
void update(Core::Sha256 &digest, std::string_view field)
{
    digest.update(std::to_string(field.size()) + ":");
    digest.update(field);
}

std::string contentDigest(const RequestContent &content)
{
    Core::Sha256 digest;
    for (const std::string *field : {&content.m_account, &content.m_method, &content.m_host, &content.m_target}) {
        update(digest, *field);
    }
    update(digest, std::to_string(content.m_promptTokens));
    update(digest, std::to_string(content.m_answerTokens));
    // The last part is taken by itself: as one of many, or as the same as another, it would not be told from others.
    const std::ptrdiff_t ownParts = content.m_promptParts.empty() ? 0 : 1;
    const std::vector<std::string> shared(content.m_promptParts.begin(), content.m_promptParts.end() - ownParts);
    const std::vector<std::string> own(content.m_promptParts.end() - ownParts, content.m_promptParts.end());
    for (const std::vector<std::string> &ids : {shared, own}) {
        for (const std::string &id : normalizedPartIds(ids)) {
            update(digest, id);
        }
        update(digest, "");
    }
    return digest.finishHex();
}

std::string prefixOf(const std::string &digest)
{
    return std::string(IdentityStart) + digest.substr(0, PrefixDigits);
}

}

std::string identityPrefix(const RequestContent &content)
{
    return prefixOf(contentDigest(content));
}

PromptPart requestIdentity(const RequestContent &content, std::string_view body)
{
    const std::string head = contentDigest(content);
    Core::Sha256 digest;
    update(digest, head);
    update(digest, body);
    return PromptPart{"", prefixOf(head) + digest.finishHex().substr(0, Digits)};
}

bool isRequestIdentity(const PromptPart &part)
{
    return part.m_service.empty() && part.m_id.starts_with(IdentityStart);
}

}
