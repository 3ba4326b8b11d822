/// @file Names and text form of errors.

#include "LibCore/Error.h"

namespace Core {

std::string_view errorCodeName(ErrorCode code)
{
    switch (code) {
    case ErrorCode::InvalidInput:
        return "invalid-input";
    case ErrorCode::NotFound:
        return "not-found";
    case ErrorCode::Conflict:
        return "conflict";
    case ErrorCode::Unavailable:
        return "unavailable";
    case ErrorCode::Timeout:
        return "timeout";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::Ambiguous:
        return "ambiguous";
    case ErrorCode::Corrupt:
        return "corrupt";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::Internal:
        return "internal";
    }
    return "unknown";
}

std::string Error::message() const
{
    std::string text = m_step;
    if (!m_peer.empty()) {
        text += " (" + m_peer + ")";
    }
    return text + ": " + m_detail;
}

std::ostream &operator<<(std::ostream &stream, const Error &error)
{
    return stream << errorCodeName(error.m_code) << ": " << error.message();
}

Error makeError(ErrorCode code, std::string step, std::string peer, std::string detail)
{
    return Error{code, std::move(step), std::move(peer), std::move(detail)};
}

}
