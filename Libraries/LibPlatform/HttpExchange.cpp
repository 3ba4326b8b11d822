/// @file Implementation of HTTP requests with POCO's HTTP client.

#include "LibPlatform/HttpExchange.h"
#include "LibNetwork/Dialer.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <ostream>

namespace Platform {

namespace {

/// Stops after the first piece that exceeds the limit, so that the caller can detect an oversized answer.
std::string readBounded(std::istream &stream, std::size_t maximum)
{
    constexpr std::size_t pieceBytes = 64 << 10;
    std::string body;
    std::string piece(pieceBytes, '\0');
    while (body.size() <= maximum && stream.good()) {
        stream.read(piece.data(), static_cast<std::streamsize>(piece.size()));
        body.append(piece.data(), static_cast<std::size_t>(stream.gcount()));
    }
    return body;
}

Core::Result<HttpAnswer> performExchange(Poco::Net::HTTPClientSession &session, const HttpRequest &request, const std::string &peer)
{
    Poco::Net::HTTPRequest message(request.m_method, request.m_target, Poco::Net::HTTPMessage::HTTP_1_1);
    message.setHost(peer);
    message.setContentLength64(static_cast<Poco::Int64>(request.m_body.size()));
    std::ostream &output = session.sendRequest(message);
    output.write(request.m_body.data(), static_cast<std::streamsize>(request.m_body.size()));
    output.flush();

    Poco::Net::HTTPResponse response;
    std::istream &input = session.receiveResponse(response);
    HttpAnswer answer{response.getStatus(), readBounded(input, request.m_maximumAnswerBytes)};
    if (answer.m_body.size() > request.m_maximumAnswerBytes) {
        return Core::makeError(Core::ErrorCode::Corrupt, request.m_step, peer, "the answer is longer than " + std::to_string(request.m_maximumAnswerBytes));
    }
    const bool isCut = response.hasContentLength() && static_cast<std::size_t>(response.getContentLength64()) != answer.m_body.size();
    if (isCut) {
        return Core::makeError(Core::ErrorCode::Ambiguous, request.m_step, peer, "the answer was cut");
    }
    return answer;
}

}

Core::Result<HttpAnswer> exchangeHttp(const Network::NetworkSettings &network, const Core::Address &server, const HttpRequest &request)
{
    const std::string peer = server.toString();
    Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> session = Network::dialHttp(network, server, request.m_timeout);
    if (!session) {
        return Core::makeError(Core::ErrorCode::Unavailable, request.m_step, peer, session.error().m_detail);
    }
    try {
        return performExchange(*session.value(), request, peer);
    } catch (const std::exception &exception) {
        // Once any byte has been sent, the server may have acted before the connection was lost.
        const Poco::Exception *detailed = dynamic_cast<const Poco::Exception *>(&exception);
        const std::string detail = detailed ? detailed->displayText() : exception.what();
        return Core::makeError(Core::ErrorCode::Ambiguous, request.m_step, peer, "no whole answer: " + detail);
    }
}

}
