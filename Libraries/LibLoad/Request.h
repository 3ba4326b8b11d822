/// @file A request of a load run and its result.
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

/// A request to be sent.
struct Request
{
    std::uint64_t m_index = 0; ///< Position in the run, starting at 0.
    Core::Duration m_at{0}; ///< Arrival time since the start of the run; always 0 in a closed loop.
    RequestKind m_kind = RequestKind::Generate;
    std::string m_account;
    std::string m_name; ///< Name of the template or service.
    std::string m_path; ///< Path within the service, without a leading slash.
    std::string m_prompt; ///< Prompt, or body of a call. Unique, so that an answer to another request is detected.
    std::uint32_t m_maximumTokens = 0;
    std::int32_t m_priority = 0;
    bool m_isKeyed = false; ///< The call is not repeatable and carries an idempotency key.
    Core::Duration m_timeout{30000};
    std::string m_expected; ///< Expected outcome from a replayed trace; empty if the trace has none.

    bool operator==(const Request &) const = default;
};

enum class Outcome {
    Ok, ///< The answer is complete and belongs to the request.
    NotRun, ///< The system guarantees that the request did not run.
    Unknown, ///< The request may have run: the system reported so, or the connection was lost.
    Failed, ///< Any other error.
    Wrong, ///< The answer violates a guarantee: it is reported as complete but is not, or it belongs to another request.
};

/// Returns the stable name of an outcome, as used in reports and traces.
std::string_view outcomeName(Outcome outcome);

/// The result of a request.
struct Observation
{
    Outcome m_outcome = Outcome::Failed;
    std::string m_code; ///< Error code from the answer or from the caller itself; empty if Ok.
    std::string m_detail; ///< Human-readable description of the problem.
    int m_status = 0; ///< HTTP status of the last answer; 0 if there was no answer.
    std::string m_key; ///< Idempotency key of the last attempt.
    std::string m_entry; ///< Address of the entry used by the last attempt.
    std::string m_version; ///< Version named in the answer.
    std::string m_digest; ///< Digest named in the answer.
    std::string m_weights; ///< Part of the tokens that identifies the weights.
    std::uint64_t m_tokens = 0;
    std::uint32_t m_retries = 0; ///< Attempts after the first one.
    std::uint32_t m_brokenTries = 0; ///< Attempts that were sent but got no complete answer; each of them may have run.
    Core::Duration m_retryAfter{0}; ///< Delay requested by the last refusal.
    double m_startedMs = 0; ///< Start of the first attempt, since the start of the run.
    double m_waitedMs = 0; ///< From arrival to the first attempt; large if the load tool cannot keep up.
    double m_firstTokenMs = 0; ///< From arrival to the first token; 0 if there was none.
    double m_totalMs = 0; ///< From arrival to the end of the last attempt.
    double m_largestGapMs = 0; ///< Longest time between two consecutive tokens.

    bool operator==(const Observation &) const = default;
};

}
