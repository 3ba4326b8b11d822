/// @file Parsing and validation of callers' requests.
#pragma once

#include "LibClaims/ClaimKey.h"
#include "LibEntry/EntrySettings.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Entry {

/// POST /v1/generate.
struct GenerateRequest
{
    std::string m_account;
    std::string m_template;
    std::string m_prompt;
    std::uint32_t m_maximumTokens = 0;
    std::int32_t m_priority = 0;

    bool operator==(const GenerateRequest &) const = default;
};

/// POST /v1/call/{service}/{path}.
struct CallRequest
{
    std::string m_account;
    std::string m_service;
    std::string m_path; ///< Starts with a slash.
    std::optional<Claims::ClaimKey> m_key; ///< Idempotency key; set for calls that must not run twice.
    std::int32_t m_priority = 0;
    std::string m_body;

    bool operator==(const CallRequest &) const = default;
};

/// Headers used by both kinds of requests, as text; absent ones are empty.
struct RequestHeaders
{
    std::string m_account;
    std::string m_key;
    std::string m_timeout;
    std::string m_priority;
};

/// Priorities range from the negative of this value to this value.
inline constexpr std::int32_t MaximumPriority = 100;

/// Parses the body and headers of a generate request. Fails with InvalidInput.
Core::Result<GenerateRequest> parseGenerate(const std::string &body, const RequestHeaders &headers, const CallerLimits &limits);
/// Parses a call; @p path is the request's path without the query. Fails with InvalidInput, or with Unavailable if the idempotency key has an empty epoch,
/// which callers are given while no entry can read the claims.
Core::Result<CallRequest> parseCall(const std::string &path, std::string body, const RequestHeaders &headers);
/// Returns the request's timeout from its header, or the default. Fails with InvalidInput.
Core::Result<Core::Duration> parseTimeout(const RequestHeaders &headers, const CallerLimits &limits);

}
