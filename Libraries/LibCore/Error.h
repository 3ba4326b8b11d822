/// @file The error type of the project: what failed, in which step, and with which peer.
#pragma once

#include <boost/outcome.hpp>
#include <ostream>
#include <string>

namespace Core {

/// Kinds of errors that callers handle differently. The detail text says the rest.
enum class ErrorCode {
    InvalidInput, ///< The input is malformed or out of range; a retry fails too.
    NotFound,
    Conflict, ///< Another change was accepted first.
    Unavailable, ///< The peer is unreachable or refuses temporarily; nothing was done.
    Timeout,
    Overloaded, ///< A limit was reached; nothing was done.
    Ambiguous, ///< The request was sent and its outcome is not known.
    Corrupt, ///< Data does not match its digest or cannot be decoded.
    Cancelled,
    Internal,
};

/// Stable lower-case name of a code, as shown in dumps and JSON.
std::string_view errorCodeName(ErrorCode code);

/// An error, as carried by Result. Immutable once made.
struct Error
{
    ErrorCode m_code = ErrorCode::Internal;
    std::string m_step; ///< The step that failed, for example "append record".
    std::string m_peer; ///< Address or name of the peer; empty if there is none.
    std::string m_detail; ///< What was observed.

    bool operator==(const Error &) const = default;

    /// Returns one line for logs and command lines: "step (peer): detail".
    std::string message() const;
};

std::ostream &operator<<(std::ostream &stream, const Error &error);

/// Value or Error; propagate with BOOST_OUTCOME_TRY.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// The result of a function that returns Result<void> and succeeds.
inline Result<void> success()
{
    return Result<void>(BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>);
}

/// Makes an Error to return from a function that returns a Result.
Error makeError(ErrorCode code, std::string step, std::string peer, std::string detail);

}
