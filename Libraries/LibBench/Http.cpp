/// @file Implementation of the HTTP requests.

#include "LibBench/Http.h"
#include "LibNetwork/Dialer.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/StreamCopier.h>

namespace Bench {

Core::Result<HttpAnswer>
httpRequest(const Core::Address &server, const std::string &method, const std::string &path, const std::string &body, Core::Duration timeout)
{
    const std::unique_ptr<Poco::Net::HTTPClientSession> session = BOOST_OUTCOME_TRYX(Network::dialHttp({}, server, timeout));
    try {
        Poco::Net::HTTPRequest request(method, path, Poco::Net::HTTPMessage::HTTP_1_1);
        request.setHost(server.toString());
        request.setContentLength64(static_cast<Poco::Int64>(body.size()));
        request.setKeepAlive(false);
        session->sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        std::istream &stream = session->receiveResponse(response);
        HttpAnswer answer;
        answer.m_status = response.getStatus();
        Poco::StreamCopier::copyToString(stream, answer.m_body);
        return answer;
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, method + " " + path, server.toString(), exception.displayText());
    }
}

Core::Result<std::string> httpGet(const Core::Address &server, const std::string &path, Core::Duration timeout)
{
    const HttpAnswer answer = BOOST_OUTCOME_TRYX(httpRequest(server, "GET", path, "", timeout));
    if (answer.m_status != 200) {
        return Core::makeError(
            Core::ErrorCode::Unavailable, "GET " + path, server.toString(), "status " + std::to_string(answer.m_status) + ": " + answer.m_body);
    }
    return answer.m_body;
}

}
