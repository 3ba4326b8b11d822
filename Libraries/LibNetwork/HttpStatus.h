/// @file The ranges of HTTP status codes (RFC 9110, section 15).
#pragma once

namespace Network {

inline constexpr int FirstInterimStatus = 100;
inline constexpr int FirstFinalStatus = 200;
inline constexpr int FirstInvalidStatus = 600; ///< Codes from here on, and those below the interim ones, belong to no class.

/// Returns whether the status announces that another answer follows.
constexpr bool isInterimStatus(int status)
{
    return status >= FirstInterimStatus && status < FirstFinalStatus;
}

/// Returns whether the status is one that an answer may end an exchange with. Parsers accept any three digits.
constexpr bool isFinalStatus(int status)
{
    return status >= FirstFinalStatus && status < FirstInvalidStatus;
}

}
