/// @file One HTTP request to a service of the platform, with bounded answers and errors that say whether it can have taken effect.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibNetwork/NetworkSettings.h"

#include <string>

namespace Platform {

struct HttpRequest
{
    std::string m_step; ///< For errors, for example "append record".
    std::string m_method = "GET";
    std::string m_target; ///< Path and query.
    std::string m_body;
    Core::Duration m_timeout{3000}; ///< For each wait on the peer.
    std::size_t m_maximumAnswerBytes = 16 << 20; ///< Larger answers are refused as Corrupt.
};

struct HttpAnswer
{
    int m_status = 0;
    std::string m_body;
};

/// Unavailable: no byte of the request was sent. Ambiguous: it was sent, at least in part, and no whole answer came back.
Core::Result<HttpAnswer> exchangeHttp(const Network::NetworkSettings &network, const Core::Address &server, const HttpRequest &question);

}
