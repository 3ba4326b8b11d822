/// @file Messages that carry a caller's request from an entry to an agent (method live.call) and its answer back.
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
    std::string m_digest; ///< Manifest digest of the version that must answer; empty for plain services.
    std::string m_key; ///< Idempotency key that the attempt has claimed; empty for repeatable calls.
    bool m_repeatable = true;
    std::int32_t m_priority = 0; ///< Requests with a higher value are served first.
    std::string m_path; ///< Path at the endpoint, for plain services.
    std::string m_body; ///< For model engines {"prompt","max_tokens"}; the agent adds the other fields.
    std::string m_agentIncarnation; ///< Incarnation of the agent that the entry chose; required unless m_repeatable.
    std::uint64_t m_agentReport = 0; ///< Sequence of the agent's newest report that the entry had received when it chose the agent.

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

/// One frame of an answer. An answer is complete only if its stream ends with an End frame.
struct AnswerFrame
{
    std::string m_attempt;
    std::uint64_t m_number = 0; ///< Counted from 0 without gaps.
    AnswerKind m_kind = AnswerKind::Data;
    std::string m_data; ///< For a model engine, the text of exactly one token. For a plain service, a part of the answer's body.
    std::int32_t m_status = 200; ///< HTTP status of the endpoint.
    std::string m_version; ///< Manifest digest that the engine reported as its version; empty for plain services.
    std::uint64_t m_totalBytes = 0; ///< In an End frame: sum of the data frames' lengths.
    std::string m_totalDigest; ///< In an End frame: SHA-256 of all data, in hexadecimal.
    std::uint32_t m_running = 0; ///< Requests running at the agent when the frame was made.
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

/// Asks an agent for the outcome of an attempt (method live.outcome). An attempt that the agent has not seen is refused if it arrives later.
struct OutcomeRequest
{
    std::string m_attempt;
    std::string m_key;
    std::string m_agentIncarnation; ///< As in LiveRequest. If it is empty or not the agent's own, the outcome is Unknown.
    std::uint64_t m_agentReport = 0; ///< As in LiveRequest.

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("attempt", m_attempt),
                       MSGPACK_NVP("key", m_key),
                       MSGPACK_NVP("agent_incarnation", m_agentIncarnation),
                       MSGPACK_NVP("agent_report", m_agentReport));
};

enum class Outcome {
    NeverRan = 0, ///< The attempt did not run, and is refused if it arrives later.
    Running = 1,
    Finished = 2, ///< The stored answer is included.
    Unknown = 3, ///< The attempt was sent to the endpoint and its answer was lost, or the agent has restarted since.
};

struct OutcomeAnswer
{
    Outcome m_outcome = Outcome::Unknown;
    std::int32_t m_status = 0;
    std::string m_body; ///< Complete answer if m_outcome is Finished.

    bool operator==(const OutcomeAnswer &) const = default;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("outcome", m_outcome), MSGPACK_NVP("status", m_status), MSGPACK_NVP("body", m_body));
};

}

MSGPACK_ADD_ENUM(Protocol::AnswerKind);
MSGPACK_ADD_ENUM(Protocol::Outcome);
