/// @file Outgoing TCP connections from the configured source address, through the gateway if one is configured.
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

/// Opens a connection and waits until it is established. Blocks for at most @p timeout in each step.
Core::Result<Poco::Net::StreamSocket> dial(const NetworkSettings &settings, const Core::Address &target, Core::Duration timeout);

/// Opens an HTTP client session over a dialed connection. Each wait for the server lasts at most @p timeout.
Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> dialHttp(const NetworkSettings &settings, const Core::Address &target, Core::Duration timeout);

/// Starts a connection without waiting, to the gateway if there is one, otherwise to the target.
Core::Result<Poco::Net::StreamSocket> beginDial(const NetworkSettings &settings, const Core::Address &target);

/// Returns the request to send to a gateway once the connection to it is open.
std::string gatewayRequest(const Core::Address &target);

/// Largest accepted answer of a gateway in bytes; longer ones fail the connection.
inline constexpr std::size_t MaximumGatewayAnswer = 4096;

/// Returns the length of the gateway's answer at the start of @p received, or nothing while it is incomplete. Fails if the gateway refuses.
Core::Result<std::optional<std::size_t>> parseGatewayAnswer(std::string_view received, const Core::Address &target);

}
