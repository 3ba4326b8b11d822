/// @file Header fields that the relay reads and writes. Their names depend on the platform, so an adapter converts them to and from these types.
#pragma once

#include "LibCore/Clock.h"
#include "LibHttp/HeaderFields.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Relay {

/// Header fields of a caller's request.
struct RequestFacts
{
    std::string m_attemptId; ///< Different for each try of the caller; empty if it is missing.
    std::optional<Core::Duration> m_timeout; ///< Time that the caller waits from now on.
    std::string m_key; ///< Key of a client account; empty if none was sent.
    std::string m_model; ///< Empty unless the request is for a model engine.
    std::uint32_t m_promptTokens = 0;
    std::uint32_t m_answerTokens = 0; ///< Upper bound.
    std::optional<std::uint64_t> m_resumeAfter; ///< Id of the last event that the caller has received.
    /// Ids of the parts of the prompt, as received, without the last part, which belongs to the request itself. Empty if the request states no parts.
    std::vector<std::string> m_promptParts;
    std::string m_ownPart; ///< Id of the prompt's last part, as received; empty if the request states no parts.
};

/// Header fields that the relay adds to a request for an endpoint.
struct AttemptFacts
{
    std::string m_endpointId; ///< Any other endpoint at the address refuses the request.
    Core::Duration m_timeLeft{0}; ///< The endpoint stops working on the request after this time.
    std::string m_account; ///< Empty for requests without one.
    std::optional<std::uint32_t> m_priority; ///< 0 is the most urgent.
    std::optional<std::uint64_t> m_expectedVersion; ///< An engine with any other version of the weights refuses the request.
    std::optional<std::uint64_t> m_resumeAfter; ///< Id of the last event that the caller has received.
};

/// Header fields of an endpoint's answer.
struct AnswerFacts
{
    struct Load
    {
        std::uint32_t m_running = 0;
        std::uint32_t m_waiting = 0;
        std::optional<double> m_pace; ///< Factor by which work now takes longer than usual; empty if it is not stated.
    };

    std::string m_attemptId; ///< Attempt id of the answered request; empty if it is missing.
    bool m_isSealed = false; ///< The answer has the header field that marks an endpoint's own answers. A success without it does not come from the endpoint.
    bool m_didNotRun = false; ///< The endpoint guarantees that the request did not run and will not run.
    bool m_isLeaving = false; ///< The endpoint ends soon and must get no more requests.
    std::optional<Load> m_load;
    std::optional<double> m_requestLimit; ///< Requests per second that the endpoint takes from all processes together; empty if it states none.
};

/// Reads and writes the header fields. Supplied by the platform adapter.
struct Dialect
{
    std::function<RequestFacts(const Http::HeaderFields &fields)> m_readRequest;
    /// @p fields: those of the caller, without those of its connection. Fields that only the relay may set are replaced.
    std::function<Http::HeaderFields(const Http::HeaderFields &fields, const AttemptFacts &attempt)> m_attemptFields;
    std::function<AnswerFacts(const Http::HeaderFields &fields)> m_readAnswer;
};

}
