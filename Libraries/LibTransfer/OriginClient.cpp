/// @file Implementation of the origin client with POCO.

#include "LibTransfer/OriginClient.h"

#include "LibWeights/Manifest.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <istream>

namespace Transfer {

namespace {

constexpr std::size_t ReadBufferBytes = 64 << 10;
constexpr int KeepAliveSeconds = 3600; ///< The session must not reconnect by itself, because it would bypass the gateway.

Poco::Timespan toTimespan(Core::Duration duration)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    return Poco::Timespan(duration.count() * microsecondsPerMillisecond);
}

/// Reads up to one byte more than the limit, so that an excessive length can be detected. Throws if the body has not ended at @p endsBy.
std::string readBounded(std::istream &stream, std::size_t maximumBytes, Core::Instant endsBy)
{
    std::string body;
    std::string buffer(ReadBufferBytes, '\0');
    // read() would wait for all wanted bytes however slowly they come; peek() waits for the next ones.
    while (body.size() <= maximumBytes && stream.peek() != std::istream::traits_type::eof()) {
        if (Core::Clock::now() > endsBy) {
            throw Poco::TimeoutException("the body did not end within the limit");
        }
        const std::size_t wanted = std::min(buffer.size(), maximumBytes + 1 - body.size());
        const std::streamsize size = stream.readsome(buffer.data(), static_cast<std::streamsize>(wanted));
        body.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return body;
}

}

OriginClient::OriginClient(Network::NetworkSettings network, Core::Address origin, OriginTimeouts timeouts, OriginDialect dialect)
    : m_network(std::move(network))
    , m_origin(std::move(origin))
    , m_timeouts(timeouts)
    , m_dialect(std::move(dialect))
{
}

OriginClient::~OriginClient() = default;

Core::Result<std::string> OriginClient::readManifest(const std::string &model, const std::string &version)
{
    return m_dialect.m_convertManifest(BOOST_OUTCOME_TRYX(get(m_dialect.m_makeManifestRequest(model, version), Weights::MaximumManifestBytes)));
}

Core::Result<std::string> OriginClient::readChunk(const OriginChunk &chunk)
{
    std::string bytes = BOOST_OUTCOME_TRYX(get(m_dialect.m_makeChunkRequest(chunk), chunk.m_length));
    if (bytes.size() != chunk.m_length) {
        // The connection broke during the answer, or the object is shorter than its manifest states.
        m_session.reset();
        return Core::makeError(Core::ErrorCode::Corrupt,
                               "read chunk from origin",
                               m_origin.toString(),
                               "expected " + std::to_string(chunk.m_length) + " bytes, got " + std::to_string(bytes.size()));
    }
    return bytes;
}

Core::Result<void> OriginClient::probe() const
{
    BOOST_OUTCOME_TRY(Network::dialHttp(m_network, m_origin, m_timeouts.m_connect));
    return Core::success();
}

Core::Result<std::string> OriginClient::get(const OriginRequest &request, std::size_t maximumBytes)
{
    const bool isReused = m_session != nullptr;
    Core::Result<std::string> answer = tryGet(request, maximumBytes);
    const bool isBroken = !answer && !m_session && answer.error().m_code == Core::ErrorCode::Unavailable;
    if (isReused && isBroken) {
        // The server may have closed the idle connection, which is detected only now. Reads can be repeated safely.
        return tryGet(request, maximumBytes);
    }
    return answer;
}

Core::Result<std::string> OriginClient::tryGet(const OriginRequest &request, std::size_t maximumBytes)
{
    if (!m_session) {
        m_session = BOOST_OUTCOME_TRYX(Network::dialHttp(m_network, m_origin, m_timeouts.m_connect));
        m_session->setTimeout(toTimespan(m_timeouts.m_connect), toTimespan(m_timeouts.m_read), toTimespan(m_timeouts.m_read));
        m_session->setKeepAlive(true);
        m_session->setKeepAliveTimeout(Poco::Timespan(KeepAliveSeconds, 0));
    }
    try {
        Poco::Net::HTTPRequest httpRequest(Poco::Net::HTTPRequest::HTTP_GET, request.m_target, Poco::Net::HTTPMessage::HTTP_1_1);
        httpRequest.setKeepAlive(true);
        httpRequest.setHost(m_origin.m_host, m_origin.m_port); // The session was created from a socket and does not know the host.
        if (!request.m_range.empty()) {
            httpRequest.set("Range", request.m_range);
        }
        m_session->sendRequest(httpRequest);
        Poco::Net::HTTPResponse response;
        std::istream &stream = m_session->receiveResponse(response);
        std::string body = readBounded(stream, maximumBytes, Core::Clock::now() + m_timeouts.m_body);
        const bool keepsSession = response.getKeepAlive() && body.size() <= maximumBytes;
        if (!keepsSession) {
            m_session.reset();
        }
        return checkResponse(response, std::move(body), maximumBytes, request.m_expectedStatus);
    } catch (const Poco::Exception &exception) {
        m_session.reset();
        return Core::makeError(Core::ErrorCode::Unavailable, "read from origin", m_origin.toString(), exception.displayText());
    }
}

Core::Result<std::string>
OriginClient::checkResponse(const Poco::Net::HTTPResponse &response, std::string body, std::size_t maximumBytes, int expectedStatus) const
{
    if (body.size() > maximumBytes) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read from origin", m_origin.toString(), "the answer is too long");
    }
    if (response.getStatus() != expectedStatus) {
        const Core::ErrorCode code = response.getStatus() == Poco::Net::HTTPResponse::HTTP_NOT_FOUND ? Core::ErrorCode::NotFound : Core::ErrorCode::Unavailable;
        return Core::makeError(code, "read from origin", m_origin.toString(), "status " + std::to_string(response.getStatus()));
    }
    return body;
}

}
