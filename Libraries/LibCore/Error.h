/// @file The one error type of the project: what failed, at which step, and which peer was at the other end.
#pragma once

#include <boost/outcome.hpp>
#include <ostream>
#include <string>

namespace Core {

/// Kinds that callers act upon; everything else is told by the detail text.
enum class ErrorCode {
    InvalidInput, ///< The input is malformed or out of range; repeating it cannot help.
    NotFound,
    Conflict, ///< Somebody else's change was accepted first.
    Unavailable, ///< The peer cannot be reached or refuses for now; nothing was done.
    Timeout,
    Overloaded, ///< A bound was reached; nothing was done.
    Ambiguous, ///< The request was sent and its outcome is not known.
    Corrupt, ///< Data does not match its digest or cannot be decoded.
    Cancelled,
    Internal,
};

/// Stable lower-case name of a code, as shown in dumps and JSON.
std::string_view errorCodeName(ErrorCode code);

/// An error as it travels up through Result. Immutable once made.
struct Error
{
    ErrorCode m_code = ErrorCode::Internal;
    std::string m_step; ///< What was being done, for example "append record".
    std::string m_peer; ///< Address or name of the other end; empty if there is none.
    std::string m_detail; ///< What was observed.

    bool operator==(const Error &) const = default;

    /// One line for logs and command lines: "step (peer): detail".
    std::string message() const;
};

std::ostream &operator<<(std::ostream &stream, const Error &error);

/// Value or Error; propagate with BOOST_OUTCOME_TRY.
template <typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Error, BOOST_OUTCOME_V2_NAMESPACE::policy::all_narrow>;

/// The successful end of a function that returns Result<void>.
inline Result<void> success()
{
    return Result<void>(BOOST_OUTCOME_V2_NAMESPACE::in_place_type<void>);
}

/// Shorthand to fail with an Error out of a function that returns a Result.
Error makeError(ErrorCode code, std::string step, std::string peer, std::string detail);

}
