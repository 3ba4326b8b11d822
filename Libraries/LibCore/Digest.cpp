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

std::string Sha256::finishRaw()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> raw{};
    unsigned int length = 0;
    EVP_DigestFinal_ex(m_context, raw.data(), &length);
    EVP_DigestInit_ex(m_context, EVP_sha256(), nullptr);
    return std::string(reinterpret_cast<const char *>(raw.data()), length);
}

std::string Sha256::finishHex()
{
    return toHex(finishRaw());
}

std::string sha256Hex(std::string_view bytes)
{
    return toHex(sha256Raw(bytes));
}

std::string sha256Raw(std::string_view bytes)
{
    Sha256 digest;
    digest.update(bytes);
    return digest.finishRaw();
}

std::string toHex(std::string_view bytes)
{
    std::string text;
    text.reserve(2 * bytes.size());
    for (const char character : bytes) {
        const unsigned int byte = static_cast<unsigned char>(character);
        text += HexDigits[byte >> 4U];
        text += HexDigits[byte & 0xFU];
    }
    return text;
}

bool isSha256Hex(std::string_view text)
{
    return text.size() == Sha256HexLength && text.find_first_not_of(HexDigits) == std::string_view::npos;
}

}
