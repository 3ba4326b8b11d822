/// @file SHA-256 by OpenSSL, for everything that is addressed or attested by its content.
#pragma once

#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace Core {

/// Length of a SHA-256 digest in bytes.
inline constexpr std::size_t Sha256Length = 32;

/// Length of a SHA-256 digest in hexadecimal.
inline constexpr std::size_t Sha256HexLength = 64;

/// SHA-256 over data that arrives in parts.
class Sha256
{
public:
    Sha256();
    ~Sha256();

    Sha256(const Sha256 &) = delete;
    Sha256 &operator=(const Sha256 &) = delete;

    void update(std::string_view bytes);
    /// The digest's 32 bytes; the object starts anew afterwards.
    std::string finishRaw();
    /// As finishRaw, in 64 lower-case hexadecimal digits.
    std::string finishHex();

private:
    evp_md_ctx_st *m_context;
};

/// SHA-256 of @p bytes as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view bytes);

/// SHA-256 of @p bytes as 32 bytes.
std::string sha256Raw(std::string_view bytes);

/// Two lower-case hexadecimal digits for each byte.
std::string toHex(std::string_view bytes);

/// True for exactly 64 lower-case hexadecimal digits.
bool isSha256Hex(std::string_view text);

}
