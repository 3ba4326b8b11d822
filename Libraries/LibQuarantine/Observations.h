/// @file What entries tell each other about requests and parts of prompts under which endpoints have ended.
#pragma once

#include "LibCore/Clock.h"
#include "LibQuarantine/PromptPart.h"

#include <cstdint>
#include <optional>

namespace Quarantine {

/// Identifies an incarnation of an endpoint.
using Incarnation = std::uint64_t;
/// Identifies a client account; 0 for requests without one.
using Account = std::uint64_t;

Incarnation incarnationOf(const std::string &endpointId, std::uint64_t startedMilliseconds);
Account accountOf(const std::string &name);
/// Identifies a request in every attempt of its caller, among those under which endpoints have ended.
using RequestHash = std::uint64_t;
RequestHash requestOf(const PromptPart &identity);

/// Returns the time from @p at to @p now as observations carry it; 0 if @p at is later.
std::uint64_t ageMilliseconds(Core::Instant at, Core::Instant now);

/// An endpoint ended while a request with the part, or the request with this identity, was under way there. All requests of an incarnation count once for each
/// part.
struct CrashObservation
{
    PromptPart m_part;
    Incarnation m_incarnation = 0;
    Account m_account = 0; ///< Of one of these requests.
    bool m_hadBegun = false; ///< The endpoint had just begun to answer one of these requests.
    std::uint32_t m_candidates = 1; ///< Parts of that request with which no answer is known to have been completed.
    RequestHash m_request = 0; ///< One of these requests.
    std::uint64_t m_ageMilliseconds = 0;

    bool operator==(const CrashObservation &) const = default;

    MSGPACK_DEFINE_ARRAY(m_part, m_incarnation, m_account, m_hadBegun, m_candidates, m_request, m_ageMilliseconds);
};

/// An endpoint completed an answer to a request with the part, or to the request with this identity, and lived on.
struct CompletionObservation
{
    PromptPart m_part;
    std::uint64_t m_ageMilliseconds = 0;

    bool operator==(const CompletionObservation &) const = default;

    MSGPACK_DEFINE_ARRAY(m_part, m_ageMilliseconds);
};

/// A decision to send no more requests with the part, or not to send the request with this identity again; or its withdrawal.
struct Verdict
{
    PromptPart m_part;
    std::uint32_t m_revision = 0; ///< The highest revision holds. Of two with the same revision, the one that is in force holds.
    bool m_isLifted = false;
    std::optional<Account> m_account; ///< The only account whose requests are refused; empty if those of all accounts are.
    std::vector<Incarnation> m_incarnations; ///< That ended under the part; the first ones if there are many.
    bool m_isStored = false; ///< This revision outlasts the loss of all processes.
    std::uint64_t m_idleMilliseconds = 0; ///< Time since the last request with the part, or the last change.

    bool operator==(const Verdict &) const = default;

    MSGPACK_DEFINE_ARRAY(m_part, m_revision, m_isLifted, m_account, m_incarnations, m_isStored, m_idleMilliseconds);
};

/// Merging observations gives the same result in any order, and again if some arrive twice.
struct Observations
{
    std::vector<CrashObservation> m_crashes;
    std::vector<CompletionObservation> m_completions;
    std::vector<Verdict> m_verdicts;

    bool operator==(const Observations &) const = default;

    bool isEmpty() const
    {
        return m_crashes.empty() && m_completions.empty() && m_verdicts.empty();
    }

    MSGPACK_DEFINE_ARRAY(m_crashes, m_completions, m_verdicts);
};

}
