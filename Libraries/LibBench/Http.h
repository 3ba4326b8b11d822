/// @file Plain HTTP questions of a test bench to the processes that it started.
#pragma once

#include "LibCore/Address.h"
#include "LibCore/Clock.h"
#include "LibCore/Error.h"

#include <string>

namespace Bench {

struct HttpAnswer
{
    int m_status = 0;
    std::string m_body;
};

/// One request on a connection of its own.
Core::Result<HttpAnswer>
httpRequest(const Core::Address &server, const std::string &method, const std::string &path, const std::string &body, Core::Duration timeout);

/// GET that fails unless the status is 200.
Core::Result<std::string> httpGet(const Core::Address &server, const std::string &path, Core::Duration timeout = Core::Duration(2000));

}
