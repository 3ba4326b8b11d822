/// @file SHA-256 with OpenSSL, for everything that is identified or verified by its content.
#pragma once

#include <string>
#include <string_view>

struct evp_md_ctx_st;

namespace Core {

/// Length of a SHA-256 digest in bytes.
inline constexpr std::size_t Sha256Length = 32;

/// Length of a SHA-256 digest in hexadecimal.
inline constexpr std::size_t Sha256HexLength = 64;

/// Incremental SHA-256.
class Sha256
{
public:
    Sha256();
    ~Sha256();

    Sha256(const Sha256 &) = delete;
    Sha256 &operator=(const Sha256 &) = delete;

    void update(std::string_view bytes);
    /// Returns the digest's 32 bytes and resets the object.
    std::string finishRaw();
    /// As finishRaw(), but returns 64 lower-case hexadecimal digits.
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
