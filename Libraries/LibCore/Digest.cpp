/// @file Implementation of SHA-256 on OpenSSL's EVP interface.

#include "LibCore/Digest.h"

#include <array>
#include <openssl/evp.h>

namespace Core {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

}

Sha256::Sha256()
    : m_context(EVP_MD_CTX_new())
{
    EVP_DigestInit_ex(m_context, EVP_sha256(), nullptr);
}

Sha256::~Sha256()
{
    EVP_MD_CTX_free(m_context);
}

void Sha256::update(std::string_view bytes)
{
    EVP_DigestUpdate(m_context, bytes.data(), bytes.size());
}

std::string Sha256::finishHex()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
    unsigned int length = 0;
    EVP_DigestFinal_ex(m_context, raw.data(), &length);
    EVP_DigestInit_ex(m_context, EVP_sha256(), nullptr);
    std::string text;
    text.reserve(Sha256HexLength);
    for (unsigned int index = 0; index < length; ++index) {
        const unsigned int byte = raw.at(index);
        text += HexDigits[byte >> 4U];
        text += HexDigits[byte & 0xFU];
    }
    return text;
}

std::string sha256Hex(std::string_view bytes)
{
    Sha256 digest;
    digest.update(bytes);
    return digest.finishHex();
}

bool isSha256Hex(std::string_view text)
{
    return text.size() == Sha256HexLength && text.find_first_not_of(HexDigits) == std::string_view::npos;
}

}
