/// @file HTTP requests to services of the platform, with bounded answers and errors that tell whether a request may have taken effect.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibNetwork/NetworkSettings.h"

#include <string>

namespace Platform {

struct HttpRequest
{
    std::string m_step; ///< Step named in errors, for example "append record".
    std::string m_method = "GET";
    std::string m_target; ///< Path and query.
    std::string m_body;
    Core::Duration m_timeout{3000}; ///< Limit for each wait for the server.
    Core::Duration m_answerTimeout{60000}; ///< For the whole answer, which otherwise may go on for as long as bytes keep coming.
    std::size_t m_maximumAnswerBytes = 16 << 20; ///< Larger answers fail with Corrupt.
};

struct HttpAnswer
{
    int m_status = 0;
    std::string m_body;
};

/**
 * Sends the request and returns the answer.
 *
 * Fails with Unavailable if no byte of the request was sent, with Ambiguous if it was sent at least in part and no complete answer came back, and with
 * Corrupt if the answer is too long.
 */
Core::Result<HttpAnswer> exchangeHttp(const Network::NetworkSettings &network, const Core::Address &server, const HttpRequest &request);

}
