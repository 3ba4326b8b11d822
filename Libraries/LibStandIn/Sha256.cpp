/// @file Implementation of the digest on OpenSSL.

#include "LibStandIn/Sha256.h"

#include <array>

namespace StandIn {

Sha256::Sha256()
    : m_context(EVP_MD_CTX_new(), EVP_MD_CTX_free)
{
    EVP_DigestInit_ex(m_context.get(), EVP_sha256(), nullptr);
}

void Sha256::add(std::string_view data)
{
    EVP_DigestUpdate(m_context.get(), data.data(), data.size());
}

std::string Sha256::finish()
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes;
    unsigned int length = 0;
    EVP_DigestFinal_ex(m_context.get(), bytes.data(), &length);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned int index = 0; index < length; ++index) {
        const unsigned char byte = bytes.at(index);
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

}
