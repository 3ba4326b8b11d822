/// @file Implementation of exchanges: requests are written with POCO, answers read by HttpAnswerReader.

#include "LibEndpoint/Exchange.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketStream.h>
#include <glog/logging.h>

namespace Endpoint {

namespace {

constexpr const char *AnswerStep = "ask endpoint"; ///< Step named in errors.

}

void AbortHandle::attach(const Poco::Net::StreamSocket &socket)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_socket = socket;
    if (m_isAborted) {
        m_socket->shutdown();
    }
}

void AbortHandle::abort()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_isAborted) {
        return;
    }
    m_isAborted = true;
    if (m_socket) {
        try {
            m_socket->shutdown();
        } catch (const Poco::Exception &exception) {
            // The endpoint has already closed the connection, which ends the read as well.
            VLOG(1) << "abort exchange: " << exception.displayText();
        }
    }
}

bool AbortHandle::isAborted() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_isAborted;
}

ExchangeRequest textRequest(std::string method, std::string path, std::string body)
{
    ExchangeRequest request;
    request.m_method = std::move(method);
    request.m_path = std::move(path);
    request.m_bodyBytes = body.size();
    request.m_writeBody = [text = std::move(body)](std::ostream &stream) {
        stream.write(text.data(), static_cast<std::streamsize>(text.size()));
        return stream.good();
    };
    return request;
}

Exchange::Exchange(const Poco::Net::StreamSocket &socket, const Core::Address &peer)
    : m_socket(socket)
    , m_answer(socket, AnswerStep, peer.toString())
    , m_peer(peer)
{
}

Core::Result<std::unique_ptr<Exchange>> Exchange::open(const Network::NetworkSettings &network,
                                                       const Core::Address &peer,
                                                       const ExchangeRequest &request,
                                                       Core::Duration timeout,
                                                       const std::shared_ptr<AbortHandle> &abortHandle)
{
    const Poco::Net::StreamSocket socket = BOOST_OUTCOME_TRYX(Network::dial(network, peer, timeout));
    std::unique_ptr<Exchange> exchange(new Exchange(socket, peer));
    try {
        abortHandle->attach(socket);
        if (!exchange->send(request)) {
            abortHandle->abort();
            return exchange->interruptedError("the request was broken off");
        }
    } catch (const std::exception &exception) {
        const Poco::Exception *pocoException = dynamic_cast<const Poco::Exception *>(&exception);
        return exchange->interruptedError(pocoException ? pocoException->displayText() : exception.what());
    }
    BOOST_OUTCOME_TRYV(exchange->m_answer.readHead());
    return exchange;
}

bool Exchange::send(const ExchangeRequest &request)
{
    Poco::Net::HTTPRequest head(request.m_method, request.m_path, Poco::Net::HTTPRequest::HTTP_1_1);
    head.setHost(m_peer.toString());
    head.setKeepAlive(false);
    head.setContentLength64(static_cast<Poco::Int64>(request.m_bodyBytes));
    for (const Header &header : request.m_headers) {
        head.set(header.m_name, header.m_value);
    }
    Poco::Net::SocketOutputStream out(m_socket);
    head.write(out);
    if (request.m_writeBody && !request.m_writeBody(out)) {
        return false;
    }
    out.flush();
    return out.good();
}

int Exchange::status() const
{
    return m_answer.status();
}

std::string Exchange::header(const std::string &name) const
{
    return m_answer.field(name);
}

Core::Result<std::optional<std::string>> Exchange::readLine(std::size_t maximumBytes)
{
    while (true) {
        const std::size_t end = m_unread.find('\n');
        if (std::min(end, m_unread.size()) > maximumBytes) {
            return interruptedError("a line is longer than " + std::to_string(maximumBytes) + " bytes");
        }
        if (end != std::string::npos) {
            std::string line = m_unread.substr(0, end);
            m_unread.erase(0, end + 1);
            return std::optional<std::string>(std::move(line));
        }
        const bool isMoreExpected = BOOST_OUTCOME_TRYX(m_answer.readPart(m_unread));
        if (isMoreExpected) {
            continue;
        }
        if (!m_unread.empty()) {
            return interruptedError("the answer ended within a line");
        }
        return std::optional<std::string>();
    }
}

Core::Result<std::string> Exchange::readAll(std::size_t maximumBytes)
{
    std::string body = std::exchange(m_unread, {});
    bool isMoreExpected = true;
    while (isMoreExpected) {
        isMoreExpected = BOOST_OUTCOME_TRYX(m_answer.readPart(body));
        if (body.size() > maximumBytes) {
            return Core::makeError(
                Core::ErrorCode::Corrupt, "read endpoint's answer", m_peer.toString(), "it is longer than " + std::to_string(maximumBytes) + " bytes");
        }
    }
    return body;
}

Core::Error Exchange::interruptedError(const std::string &detail) const
{
    return Core::makeError(Core::ErrorCode::Ambiguous, AnswerStep, m_peer.toString(), detail);
}

}
