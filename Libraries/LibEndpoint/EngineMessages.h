/// @file Parses and builds the JSON messages of model engines and plain services. Pure.
#pragma once

#include "LibCore/Error.h"
#include "LibEndpoint/Engine.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <string>

namespace Endpoint {

/// A line of an engine's answer.
struct EngineLine
{
    bool m_isEnd = false; ///< This is the last line; the answer is complete.
    std::string m_token; ///< Empty if m_isEnd.
    std::uint64_t m_tokens = 0; ///< If m_isEnd: number of tokens sent, as reported by the engine.
    std::string m_contentDigest; ///< If m_isEnd: digest of the version reported by the engine; may be empty.

    bool operator==(const EngineLine &) const = default;
};

/// Parses a line of an engine's answer. Fails with Corrupt.
Core::Result<EngineLine> parseEngineLine(const std::string &line, const std::string &peer);

/// Parses the answer to GET /status of either kind of endpoint. Fails with Corrupt.
Core::Result<EngineStatus> parseStatus(const std::string &body, const std::string &peer);

/// Returns the content digest from an engine's answer to a load order. Fails with Corrupt.
Core::Result<std::string> parseLoadAnswer(const std::string &body, const std::string &peer);

/// Builds the body of POST /generate from the caller's prompt. Fails with InvalidInput.
Core::Result<std::string> generateBody(const Protocol::LiveRequest &request, const std::string &contentDigest);

/// Checks that @p text cannot inject another HTTP header. Fails with InvalidInput if it is too long or contains control characters.
Core::Result<void> checkHeaderText(const std::string &field, const std::string &text);
/// Checks that the path at a plain service is absolute, not too long, and free of white space and control characters, which could inject another request line.
/// Fails with InvalidInput.
Core::Result<void> checkPath(const std::string &path);

}
