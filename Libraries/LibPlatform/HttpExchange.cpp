/// @file Implementation of HTTP requests: written with POCO, answers read by HttpAnswerReader.

#include "LibPlatform/HttpExchange.h"
#include "LibNetwork/Dialer.h"
#include "LibNetwork/HttpAnswerReader.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketStream.h>

namespace Platform {

namespace {

/// Returns whether the request was sent completely.
bool sendRequest(const Poco::Net::StreamSocket &socket, const HttpRequest &request, const std::string &peer)
{
    Poco::Net::HTTPRequest head(request.m_method, request.m_target, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setHost(peer);
    head.setContentLength64(static_cast<Poco::Int64>(request.m_body.size()));
    Poco::Net::SocketOutputStream output(socket);
    head.write(output);
    output.write(request.m_body.data(), static_cast<std::streamsize>(request.m_body.size()));
    output.flush();
    return output.good();
}

}

Core::Result<HttpAnswer> exchangeHttp(const Network::NetworkSettings &network, const Core::Address &server, const HttpRequest &request)
{
    const std::string peer = server.toString();
    const Core::Result<Poco::Net::StreamSocket> socket = Network::dial(network, server, request.m_timeout);
    if (!socket) {
        return Core::makeError(Core::ErrorCode::Unavailable, request.m_step, peer, socket.error().m_detail);
    }
    if (!sendRequest(socket.value(), request, peer)) {
        return Core::makeError(Core::ErrorCode::Ambiguous, request.m_step, peer, "the request was broken off");
    }
    Network::HttpAnswerReader reader(socket.value(), request.m_step, peer);
    reader.setTimeLimit(request.m_answerTimeout);
    BOOST_OUTCOME_TRYV(reader.readHead());
    HttpAnswer answer;
    answer.m_status = reader.status();
    BOOST_OUTCOME_TRYV(reader.readRest(answer.m_body, request.m_maximumAnswerBytes));
    return answer;
}

}
