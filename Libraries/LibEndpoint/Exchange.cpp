/// @file Implementation of exchanges with POCO's HTTP client.

#include "LibEndpoint/Exchange.h"

#include <Poco/Net/HTTPRequest.h>
#include <glog/logging.h>

namespace Endpoint {

namespace {

constexpr std::size_t ReadBufferBytes = 16 << 10;

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

Exchange::Exchange(std::unique_ptr<Poco::Net::HTTPClientSession> session, Core::Address peer)
    : m_session(std::move(session))
    , m_peer(std::move(peer))
{
}

Core::Result<std::unique_ptr<Exchange>> Exchange::open(const Network::NetworkSettings &network,
                                                       const Core::Address &peer,
                                                       const ExchangeRequest &request,
                                                       Core::Duration timeout,
                                                       const std::shared_ptr<AbortHandle> &abortHandle)
{
    std::unique_ptr<Poco::Net::HTTPClientSession> session = BOOST_OUTCOME_TRYX(Network::dialHttp(network, peer, timeout));
    std::unique_ptr<Exchange> exchange(new Exchange(std::move(session), peer));
    try {
        abortHandle->attach(exchange->m_session->socket());
        Poco::Net::HTTPRequest head(request.m_method, request.m_path, Poco::Net::HTTPRequest::HTTP_1_1);
        head.setHost(peer.toString());
        head.setKeepAlive(false);
        head.setContentLength64(static_cast<Poco::Int64>(request.m_bodyBytes));
        for (const Header &header : request.m_headers) {
            head.set(header.m_name, header.m_value);
        }
        std::ostream &out = exchange->m_session->sendRequest(head);
        if (request.m_writeBody && !request.m_writeBody(out)) {
            abortHandle->abort();
            return exchange->interruptedError("the request was broken off");
        }
        out.flush();
        exchange->m_stream = &exchange->m_session->receiveResponse(exchange->m_response);
    } catch (const std::exception &exception) {
        const Poco::Exception *pocoException = dynamic_cast<const Poco::Exception *>(&exception);
        return exchange->interruptedError(pocoException ? pocoException->displayText() : exception.what());
    }
    return exchange;
}

int Exchange::status() const
{
    return static_cast<int>(m_response.getStatus());
}

std::string Exchange::header(const std::string &name) const
{
    return m_response.get(name, "");
}

Core::Result<std::optional<std::string>> Exchange::readLine(std::size_t maximumBytes)
{
    std::string line;
    try {
        while (true) {
            const int character = m_stream->get();
            if (character == std::char_traits<char>::eof()) {
                if (line.empty() && !m_stream->bad()) {
                    return std::optional<std::string>();
                }
                return interruptedError("the answer ended within a line");
            }
            if (character == '\n') {
                return std::optional<std::string>(std::move(line));
            }
            line += static_cast<char>(character);
            if (line.size() > maximumBytes) {
                return interruptedError("a line is longer than " + std::to_string(maximumBytes) + " bytes");
            }
        }
    } catch (const std::exception &exception) {
        return interruptedError(exception.what());
    }
}

Core::Result<std::string> Exchange::readAll(std::size_t maximumBytes)
{
    std::string body;
    std::string buffer(ReadBufferBytes, '\0');
    try {
        while (*m_stream) {
            m_stream->read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
            body.append(buffer, 0, static_cast<std::size_t>(m_stream->gcount()));
            if (body.size() > maximumBytes) {
                return Core::makeError(
                    Core::ErrorCode::Corrupt, "read endpoint's answer", m_peer.toString(), "it is longer than " + std::to_string(maximumBytes) + " bytes");
            }
        }
    } catch (const std::exception &exception) {
        return interruptedError(exception.what());
    }
    // POCO reports a connection that is closed early as a normal end of the stream, so the length is compared with the announced one.
    const bool lengthKnown = m_response.hasContentLength();
    if (m_stream->bad() || (lengthKnown && static_cast<std::uint64_t>(m_response.getContentLength64()) != body.size())) {
        return interruptedError("the answer is shorter than announced");
    }
    if (!lengthKnown && !m_response.getChunkedTransferEncoding()) {
        return interruptedError("the answer announces no length, so that its end cannot be told from a cut");
    }
    return body;
}

Core::Error Exchange::interruptedError(const std::string &detail) const
{
    return Core::makeError(Core::ErrorCode::Ambiguous, "ask endpoint", m_peer.toString(), detail);
}

}
