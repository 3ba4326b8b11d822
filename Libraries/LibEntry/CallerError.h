/// @file Errors as callers receive them: HTTP status, code and retry time.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <optional>
#include <string>
#include <vector>

namespace Entry {

enum class CallerCode {
    InvalidInput,
    NotFound,
    KeyUsed,
    KeyExpired,
    TooLarge,
    AccountBusy, ///< Not run: the account's queue is full.
    NotRun,
    OutcomeUnknown,
    Timeout,
};

/// Final answer to a failed request.
struct CallerError
{
    CallerCode m_code = CallerCode::NotRun;
    Core::Error m_error;
    std::optional<Core::Duration> m_retryAfter; ///< Time after which the caller may retry; set for every refusal that can be retried.
    std::vector<std::string> m_addresses; ///< Caller addresses of other entries, if this one is leaving.

    bool operator==(const CallerError &) const = default;
};

/// Returns the HTTP status of an error code.
int httpStatus(CallerCode code);
/// Returns the name of the code as documented in docs/CALLERS.md.
std::string_view callerCodeName(CallerCode code);
/// Returns {"error":{...}} without a trailing newline.
std::string callerErrorJson(const CallerError &error);
/// Returns the value of the Retry-After header: seconds, rounded up, at least 1.
std::int64_t retryAfterSeconds(Core::Duration wait);

}
