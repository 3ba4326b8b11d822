/// @file Implementation of dialing on POCO sockets.

#include "LibNetwork/Dialer.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocketImpl.h>

namespace Network {

namespace {

constexpr std::string_view AnswerEnd = "\r\n\r\n";

Poco::Timespan toTimespan(Core::Duration duration)
{
    return Poco::Timespan(duration.count() * 1000);
}

Poco::Net::StreamSocket makeSocket(const NetworkSettings &settings)
{
    Poco::Net::StreamSocket socket;
    if (!settings.m_bindHost.empty()) {
        socket.impl()->bind(Poco::Net::SocketAddress(settings.m_bindHost, 0), true);
    }
    return socket;
}

Core::Address firstHop(const NetworkSettings &settings, const Core::Address &target)
{
    return settings.m_gateway.value_or(target);
}

/// Connects through the gateway on a blocking socket. Reads the answer byte by byte, since the bytes after it come from the target.
Core::Result<void> connectThroughGateway(Poco::Net::StreamSocket &socket, const Core::Address &target)
{
    const std::string request = gatewayRequest(target);
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    std::string received;
    while (received.size() < MaximumGatewayAnswer) {
        char byte = 0;
        if (socket.receiveBytes(&byte, 1) <= 0) {
            return Core::makeError(Core::ErrorCode::Unavailable, "pass gateway", target.toString(), "the gateway closed the connection");
        }
        received += byte;
        const std::optional<std::size_t> length = BOOST_OUTCOME_TRYX(parseGatewayAnswer(received, target));
        if (length) {
            return Core::success();
        }
    }
    return Core::makeError(Core::ErrorCode::Unavailable, "pass gateway", target.toString(), "the gateway's answer is too long");
}

}

std::string gatewayRequest(const Core::Address &target)
{
    return "CONNECT " + target.toString() + " HTTP/1.1\r\nHost: " + target.toString() + "\r\n\r\n";
}

Core::Result<std::optional<std::size_t>> parseGatewayAnswer(std::string_view received, const Core::Address &target)
{
    const std::size_t end = received.find(AnswerEnd);
    if (end == std::string_view::npos) {
        if (received.size() >= MaximumGatewayAnswer) {
            return Core::makeError(Core::ErrorCode::Unavailable, "pass gateway", target.toString(), "the gateway's answer is too long");
        }
        return std::optional<std::size_t>();
    }
    const bool accepted = received.starts_with("HTTP/1.") && received.substr(8, 4) == " 200";
    if (!accepted) {
        const std::string line(received.substr(0, received.find('\r')));
        return Core::makeError(Core::ErrorCode::Unavailable, "pass gateway", target.toString(), "the gateway refused: " + line);
    }
    return std::optional<std::size_t>(end + AnswerEnd.size());
}

Core::Result<Poco::Net::StreamSocket> beginDial(const NetworkSettings &settings, const Core::Address &target)
{
    const Core::Address hop = firstHop(settings, target);
    try {
        Poco::Net::StreamSocket socket = makeSocket(settings);
        socket.connectNB(Poco::Net::SocketAddress(hop.m_host, hop.m_port));
        socket.setBlocking(false);
        socket.setNoDelay(true);
        return socket;
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "connect", target.toString(), exception.displayText());
    }
}

Core::Result<Poco::Net::StreamSocket> dial(const NetworkSettings &settings, const Core::Address &target, Core::Duration timeout)
{
    const Core::Address hop = firstHop(settings, target);
    try {
        Poco::Net::StreamSocket socket = makeSocket(settings);
        socket.connect(Poco::Net::SocketAddress(hop.m_host, hop.m_port), toTimespan(timeout));
        socket.setReceiveTimeout(toTimespan(timeout));
        socket.setSendTimeout(toTimespan(timeout));
        socket.setNoDelay(true);
        if (settings.m_gateway) {
            BOOST_OUTCOME_TRY(connectThroughGateway(socket, target));
        }
        return socket;
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "connect", target.toString(), exception.displayText());
    }
}

Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> dialHttp(const NetworkSettings &settings, const Core::Address &target, Core::Duration timeout)
{
    const Poco::Net::StreamSocket socket = BOOST_OUTCOME_TRYX(dial(settings, target, timeout));
    std::unique_ptr<Poco::Net::HTTPClientSession> session = std::make_unique<Poco::Net::HTTPClientSession>(socket);
    session->setTimeout(toTimespan(timeout), toTimespan(timeout), toTimespan(timeout));
    return session;
}

}
