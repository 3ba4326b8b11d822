/// @file Implementation of the exchange on POCO's HTTP client.

#include "LibPlatform/HttpExchange.h"
#include "LibNetwork/Dialer.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>
#include <ostream>

namespace Platform {

namespace {

/// Reads at most one byte over the limit, so that an oversized answer can be told.
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

Core::Result<HttpAnswer> ask(Poco::Net::HTTPClientSession &session, const HttpRequest &question, const std::string &peer)
{
    Poco::Net::HTTPRequest request(question.m_method, question.m_target, Poco::Net::HTTPMessage::HTTP_1_1);
    request.setHost(peer);
    request.setContentLength64(static_cast<Poco::Int64>(question.m_body.size()));
    std::ostream &output = session.sendRequest(request);
    output.write(question.m_body.data(), static_cast<std::streamsize>(question.m_body.size()));
    output.flush();

    Poco::Net::HTTPResponse response;
    std::istream &input = session.receiveResponse(response);
    HttpAnswer answer{response.getStatus(), readBounded(input, question.m_maximumAnswerBytes)};
    if (answer.m_body.size() > question.m_maximumAnswerBytes) {
        return Core::makeError(Core::ErrorCode::Corrupt, question.m_step, peer, "the answer is longer than " + std::to_string(question.m_maximumAnswerBytes));
    }
    const bool isCut = response.hasContentLength() && static_cast<std::size_t>(response.getContentLength64()) != answer.m_body.size();
    if (isCut) {
        return Core::makeError(Core::ErrorCode::Ambiguous, question.m_step, peer, "the answer was cut");
    }
    return answer;
}

}

Core::Result<HttpAnswer> exchangeHttp(const Network::NetworkSettings &network, const Core::Address &server, const HttpRequest &question)
{
    const std::string peer = server.toString();
    Core::Result<std::unique_ptr<Poco::Net::HTTPClientSession>> session = Network::dialHttp(network, server, question.m_timeout);
    if (!session) {
        return Core::makeError(Core::ErrorCode::Unavailable, question.m_step, peer, session.error().m_detail);
    }
    try {
        return ask(*session.value(), question, peer);
    } catch (const std::exception &exception) {
        // From the first byte on, the server may have acted before the connection was lost.
        const Poco::Exception *detailed = dynamic_cast<const Poco::Exception *>(&exception);
        const std::string detail = detailed ? detailed->displayText() : exception.what();
        return Core::makeError(Core::ErrorCode::Ambiguous, question.m_step, peer, "no whole answer: " + detail);
    }
}

}
