/// @file Callers' requests on their way from an entry to an agent (method live.call) and what comes back.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <string>

namespace Protocol {

/// One attempt to run one caller's request at one endpoint.
struct LiveRequest
{
    std::string m_attempt; ///< Unique for each attempt; carried in every frame of its answer.
    std::string m_account; ///< Client account.
    std::string m_service;
    std::string m_digest; ///< Version that must answer; empty for plain services.
    std::string m_key; ///< Idempotency key that the attempt has claimed; empty for repeatable calls.
    bool m_repeatable = true;
    std::int32_t m_priority = 0; ///< Larger goes first.
    std::string m_path; ///< Path at the endpoint, for plain services.
    std::string m_body; ///< For model engines {"prompt","max_tokens"}; the agent adds the rest.
    std::string m_agentIncarnation; ///< Of the agent that the entry means; required unless repeatable.
    std::uint64_t m_agentReport = 0; ///< Sequence of that agent's newest report at the entry when it chose the agent.

    bool operator==(const LiveRequest &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("attempt", m_attempt),
                       MSGPACK_NVP("account", m_account),
                       MSGPACK_NVP("service", m_service),
                       MSGPACK_NVP("digest", m_digest),
                       MSGPACK_NVP("key", m_key),
                       MSGPACK_NVP("repeatable", m_repeatable),
                       MSGPACK_NVP("priority", m_priority),
                       MSGPACK_NVP("path", m_path),
                       MSGPACK_NVP("body", m_body),
                       MSGPACK_NVP("agent_incarnation", m_agentIncarnation),
                       MSGPACK_NVP("agent_report", m_agentReport));
};

enum class AnswerKind {
    Data = 0,
    End = 1, ///< The answer is complete; the totals are set.
};

/// One frame of an answer. The stream ends with an End frame, or else the answer is not whole.
struct AnswerFrame
{
    std::string m_attempt;
    std::uint64_t m_number = 0; ///< Counted from 0 without gaps.
    AnswerKind m_kind = AnswerKind::Data;
    std::string m_data; ///< Of a model engine: the text of exactly one token. Of a plain service: a part of its answer's body.
    std::int32_t m_status = 200; ///< HTTP status of the endpoint.
    std::string m_version; ///< Manifest digest that the engine named as its own; empty for plain services.
    std::uint64_t m_totalBytes = 0; ///< In an End frame: sum of the data frames' lengths.
    std::string m_totalDigest; ///< In an End frame: SHA-256 of all data, in hexadecimal.
    std::uint32_t m_running = 0; ///< Load at the agent when the frame was made.
    std::uint32_t m_capacity = 0;

    bool operator==(const AnswerFrame &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("attempt", m_attempt),
                       MSGPACK_NVP("number", m_number),
                       MSGPACK_NVP("kind", m_kind),
                       MSGPACK_NVP("data", m_data),
                       MSGPACK_NVP("status", m_status),
                       MSGPACK_NVP("version", m_version),
                       MSGPACK_NVP("total_bytes", m_totalBytes),
                       MSGPACK_NVP("total_digest", m_totalDigest),
                       MSGPACK_NVP("running", m_running),
                       MSGPACK_NVP("capacity", m_capacity));
};

/// Asks an agent what became of an attempt (method live.outcome). An attempt the agent has not seen is barred from ever running.
struct OutcomeRequest
{
    std::string m_attempt;
    std::string m_key;
    std::string m_agentIncarnation; ///< As in the LiveRequest. Without it, or if it is another's, the outcome of an attempt is Unknown.
    std::uint64_t m_agentReport = 0; ///< As in the LiveRequest.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("attempt", m_attempt),
                       MSGPACK_NVP("key", m_key),
                       MSGPACK_NVP("agent_incarnation", m_agentIncarnation),
                       MSGPACK_NVP("agent_report", m_agentReport));
};

enum class Outcome {
    NeverRan = 0, ///< It did not run, and a late arrival will be refused.
    Running = 1,
    Finished = 2, ///< The stored answer follows.
    Unknown = 3, ///< It was handed to the endpoint, whose answer was lost, or the agent has restarted since.
};

struct OutcomeAnswer
{
    Outcome m_outcome = Outcome::Unknown;
    std::int32_t m_status = 0;
    std::string m_body; ///< Whole answer, if Finished.

    bool operator==(const OutcomeAnswer &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("outcome", m_outcome), MSGPACK_NVP("status", m_status), MSGPACK_NVP("body", m_body));
};

}

MSGPACK_ADD_ENUM(Protocol::AnswerKind);
MSGPACK_ADD_ENUM(Protocol::Outcome);
