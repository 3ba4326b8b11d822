/// @file One request of the load and what became of it.
#pragma once

#include "LibCore/Clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace Load {

enum class RequestKind {
    Generate, ///< POST /v1/generate
    Call, ///< POST /v1/call/{service}/{path}
};

/// A request as it is to be sent.
struct Request
{
    std::uint64_t m_index = 0; ///< Counted from 0 in a run.
    Core::Duration m_at{0}; ///< When it arrives, from the start of the run; 0 for all in a closed loop.
    RequestKind m_kind = RequestKind::Generate;
    std::string m_account;
    std::string m_name; ///< Template or service.
    std::string m_path; ///< Path at the service, without a leading slash.
    std::string m_prompt; ///< Prompt, or body of a call; unique, so that an answer to another request is recognised.
    std::uint32_t m_maximumTokens = 0;
    std::int32_t m_priority = 0;
    bool m_isKeyed = false; ///< The call may not be repeated.
    Core::Duration m_timeout{30000};
    std::string m_expected; ///< Outcome that a replayed trace states; empty if it states none.

    bool operator==(const Request &) const = default;
};

enum class Outcome {
    Ok, ///< A whole answer, and its own.
    NotRun, ///< The system says that it did not run.
    Unknown, ///< The system, or a lost connection, leaves open whether it ran.
    Failed, ///< Any other error.
    Wrong, ///< An answer that claims to be whole and is not, or is not this request's.
};

/// Stable name of an outcome in reports and traces.
std::string_view outcomeName(Outcome outcome);

/// What became of a request.
struct Observation
{
    Outcome m_outcome = Outcome::Failed;
    std::string m_code; ///< Error code of the answer, or one of the caller's own; empty if Ok.
    std::string m_detail; ///< What was wrong, for people.
    int m_status = 0; ///< HTTP status of the last answer; 0 if there was none.
    std::string m_key; ///< Idempotency key of the last try.
    std::string m_entry; ///< Address of the last try.
    std::string m_version; ///< Version that the answer names.
    std::string m_digest; ///< Digest that the answer names.
    std::string m_weights; ///< Part of the tokens that tells the weights.
    std::uint64_t m_tokens = 0;
    std::uint32_t m_retries = 0; ///< Tries beyond the first.
    std::uint32_t m_brokenTries = 0; ///< Tries that were sent and got no whole answer: each may have run.
    Core::Duration m_retryAfter{0}; ///< What the last refusal asked for.
    double m_startedMs = 0; ///< From the start of the run.
    double m_waitedMs = 0; ///< From arrival to the first try; large if the load tool itself falls behind.
    double m_firstTokenMs = 0; ///< From arrival; 0 if there was none.
    double m_totalMs = 0; ///< From arrival.
    double m_largestGapMs = 0; ///< Longest time between two tokens.

    bool operator==(const Observation &) const = default;
};

}
