/// @file Opening TCP connections from the process's own IP number, through the site's gateway where there is one.
#pragma once

#include "LibCore/Clock.h"
#include "LibCore/Error.h"
#include "LibNetwork/NetworkSettings.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/StreamSocket.h>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Network {

/// Opens a connection and waits for it; blocks at most @p timeout for each step.
Core::Result<Poco::Net::StreamSocket> dial(const NetworkSettings &settings, const Core::Address &target, Core::Duration timeout);

/// An HTTP client session over a dialed connection. Each wait for the server lasts at most @p timeout.
Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> dialHttp(const NetworkSettings &settings, const Core::Address &target, Core::Duration timeout);

/// Starts a connection without waiting: towards the gateway if there is one, else towards the target.
Core::Result<Poco::Net::StreamSocket> beginDial(const NetworkSettings &settings, const Core::Address &target);

/// What must be sent to a gateway once the connection to it is open.
std::string gatewayRequest(const Core::Address &target);

/// Largest answer of a gateway that is read before the attempt is given up.
inline constexpr std::size_t MaximumGatewayAnswer = 4096;

/// Length of the gateway's answer at the start of @p received; empty while it is incomplete; fails if it refuses.
Core::Result<std::optional<std::size_t>> parseGatewayAnswer(std::string_view received, const Core::Address &target);

}
