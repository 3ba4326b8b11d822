/// @file SHA-256 over data that arrives in parts.
#pragma once

#include <memory>
#include <openssl/evp.h>
#include <string>
#include <string_view>

namespace StandIn {

class Sha256
{
public:
    Sha256();

    void add(std::string_view data);
    /// The digest in lower-case hexadecimal; nothing may be added afterwards.
    std::string finish();

private:
    std::unique_ptr<EVP_MD_CTX, void (*)(EVP_MD_CTX *)> m_context;
};

}
