/// @file HTTP requests of a test bench to the processes that it started.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <string>

namespace Bench {

/// Status and body of an HTTP answer.
struct HttpAnswer
{
    int m_status = 0;
    std::string m_body;
};

/// Sends one request on a new connection. Fails with Unavailable, or with the error of the connection attempt.
Core::Result<HttpAnswer>
httpRequest(const Core::Address &server, const std::string &method, const std::string &path, const std::string &body, Core::Duration timeout);

/// Sends a GET request and returns the body. Fails with Unavailable unless the status is 200.
Core::Result<std::string> httpGet(const Core::Address &server, const std::string &path, Core::Duration timeout = Core::Duration(2000));

}
