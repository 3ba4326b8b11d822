/// @file Callers' requests, read and checked. Pure.
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
    std::optional<Claims::ClaimKey> m_key; ///< Set for calls that may not be repeated.
    std::int32_t m_priority = 0;
    std::string m_body;

    bool operator==(const CallRequest &) const = default;
};

/// Headers that are common to both, as text; absent ones are empty.
struct RequestHeaders
{
    std::string m_account;
    std::string m_key;
    std::string m_timeout;
    std::string m_priority;
};

inline constexpr std::int32_t MaximumPriority = 100;

/// Fails with InvalidInput.
Core::Result<GenerateRequest> parseGenerate(const std::string &body, const RequestHeaders &headers, const CallerLimits &limits);
/// @p path is the request's path without the query; fails with InvalidInput.
Core::Result<CallRequest> parseCall(const std::string &path, std::string body, const RequestHeaders &headers);
/// The time that the caller gives, from its header or the default. Fails with InvalidInput.
Core::Result<Core::Duration> parseTimeout(const RequestHeaders &headers, const CallerLimits &limits);

}
