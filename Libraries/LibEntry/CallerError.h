/// @file What callers are told when a request fails: HTTP status, code and when to come back.
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
    AccountBusy, ///< Not run: the account's own queue is full.
    NotRun,
    OutcomeUnknown,
    Timeout,
};

/// The final answer to a request that failed. Immutable once made.
struct CallerError
{
    CallerCode m_code = CallerCode::NotRun;
    Core::Error m_error;
    std::optional<Core::Duration> m_retryAfter; ///< Set for every refusal that can be tried again.
    std::vector<std::string> m_addresses; ///< Other entries to use, if this one is leaving.

    bool operator==(const CallerError &) const = default;
};

int httpStatus(CallerCode code);
/// The code as docs/CALLERS.md names it.
std::string_view callerCodeName(CallerCode code);
/// {"error":{...}} without a line end.
std::string callerErrorJson(const CallerError &error);
/// Whole seconds for the Retry-After header, rounded up, at least 1.
std::int64_t retryAfterSeconds(Core::Duration wait);

}
