/// @file What the relay needs to know of header fields whose names depend on where it runs, as types that say what they hold.
#pragma once

#include "LibCore/Clock.h"
#include "LibHttp/HeaderFields.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Relay {

/// What a caller states about its request.
struct RequestFacts
{
    std::string m_attemptId; ///< New for each try of the caller; empty if it is missing.
    std::optional<Core::Duration> m_timeout; ///< How long the caller waits from now on.
    std::string m_key; ///< Of a client account; empty if none was sent.
    std::string m_model; ///< Empty unless the request is for a model engine.
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_answerTokens = 0; ///< Upper bound.
    std::optional<std::uint64_t> m_resumeAfter; ///< Id of the last event that the caller has.
};

/// What the system states when it passes a request on to an endpoint.
struct AttemptFacts
{
    std::string m_endpointId; ///< Any other endpoint at the address refuses.
    Core::Duration m_timeLeft{0}; ///< The endpoint stops work after it.
    std::string m_account; ///< Empty for requests without one.
    std::optional<std::uint32_t> m_priority; ///< 0 is the most urgent.
    std::optional<std::uint64_t> m_expectedVersion; ///< An engine with any other weights refuses.
    std::optional<std::uint64_t> m_resumeAfter;
};

/// What an endpoint states in the head of its answer.
struct AnswerFacts
{
    struct Load
    {
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
    };

    std::string m_attemptId; ///< Of the request that it answers; empty if it does not say.
    bool m_isSealed = false; ///< The endpoint's own mark, without which a success is not its answer.
    bool m_didNotRun = false; ///< The endpoint promises that the request did not run and will not.
    std::optional<Load> m_load;
};

/// Reads and writes the fields. Supplied by the adapter of the place where the system runs.
struct Dialect
{
    std::function<RequestFacts(const Http::HeaderFields &fields)> m_readRequest;
    /// @p fields came from the caller, without those of its connection; those that only the system may set are replaced.
    std::function<Http::HeaderFields(const Http::HeaderFields &fields, const AttemptFacts &attempt)> m_attemptFields;
    std::function<AnswerFacts(const Http::HeaderFields &fields)> m_readAnswer;
};

}
