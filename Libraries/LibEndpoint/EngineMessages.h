/// @file The JSON that model engines and plain services speak. Pure.
#pragma once

#include "LibCore/Error.h"
#include "LibEndpoint/Engine.h"
#include "LibProtocol/Live.h"

#include <cstdint>
#include <string>

namespace Endpoint {

/// One line of an engine's answer.
struct EngineLine
{
    bool m_isEnd = false; ///< The answer is complete.
    std::string m_token; ///< Unless m_end.
    std::uint64_t m_tokens = 0; ///< If m_end: how many tokens the engine says it sent.
    std::string m_contentDigest; ///< If m_end: the version that the engine names.

    bool operator==(const EngineLine &) const = default;
};

/// Fails with Corrupt.
Core::Result<EngineLine> parseEngineLine(const std::string &line, const std::string &peer);

/// Answer to GET /status of either kind of endpoint. Fails with Corrupt.
Core::Result<EngineStatus> parseStatus(const std::string &body, const std::string &peer);

/// The content digest that an engine names in answer to a load order. Fails with Corrupt.
Core::Result<std::string> parseLoadAnswer(const std::string &body, const std::string &peer);

/// Body of POST /generate from the caller's prompt. Fails with InvalidInput.
Core::Result<std::string> generateBody(const Protocol::LiveRequest &request, const std::string &contentDigest);

/// Texts from outside go into HTTP headers and paths only if they can't end one and start another. Fails with InvalidInput.
Core::Result<void> checkHeaderText(const std::string &field, const std::string &text);
/// The path at a plain service: absolute and without white space. Fails with InvalidInput.
Core::Result<void> checkPath(const std::string &path);

}
