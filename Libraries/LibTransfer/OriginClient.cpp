/// @file Implementation of the origin client: requests are written with POCO, answers read by HttpAnswerReader.

#include "LibTransfer/OriginClient.h"

#include "LibWeights/Manifest.h"

#include <Poco/Exception.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/SocketStream.h>
#include <algorithm>

namespace Transfer {

namespace {

constexpr int NotFound = 404;
/// Bytes of a body within each OriginTimeouts::m_read. Far below the rate of a loaded origin, and enough to end a body that trickles in while others wait.
constexpr std::size_t MinimumProgressBytes = 1 << 10;

Poco::Timespan toTimespan(Core::Duration duration)
{
    constexpr std::int64_t microsecondsPerMillisecond = 1000;
    return Poco::Timespan(duration.count() * microsecondsPerMillisecond);
}

}

OriginClient::OriginClient(
    Network::NetworkSettings network, Core::Address origin, OriginTimeouts timeouts, OriginDialect dialect, Network::SocketInterrupter &interrupter)
    : m_network(std::move(network))
    , m_origin(std::move(origin))
    , m_timeouts(timeouts)
    , m_dialect(std::move(dialect))
    , m_interrupter(interrupter)
{
}

OriginClient::~OriginClient()
{
    disconnect();
}

Core::Result<std::string> OriginClient::readManifest(const std::string &model, const std::string &version)
{
    return m_dialect.m_convertManifest(BOOST_OUTCOME_TRYX(get(m_dialect.m_makeManifestRequest(model, version), Weights::MaximumManifestBytes)));
}

Core::Result<std::string> OriginClient::readChunk(const OriginChunk &chunk)
{
    std::string bytes = BOOST_OUTCOME_TRYX(get(m_dialect.m_makeChunkRequest(chunk), chunk.m_length));
    if (bytes.size() != chunk.m_length) {
        // The connection broke during the answer, or the object is shorter than its manifest states.
        disconnect();
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

Core::Result<void> OriginClient::connect()
{
    Poco::Net::StreamSocket socket = BOOST_OUTCOME_TRYX(Network::dial(m_network, m_origin, m_timeouts.m_connect));
    try {
        socket.setReceiveTimeout(toTimespan(m_timeouts.m_read));
        socket.setSendTimeout(toTimespan(m_timeouts.m_read));
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Unavailable, "read from origin", m_origin.toString(), exception.displayText());
    }
    m_socket = socket;
    m_interrupter.add(socket);
    return Core::success();
}

void OriginClient::disconnect()
{
    if (m_socket) {
        m_interrupter.remove(*m_socket);
        m_socket.reset();
    }
}

Core::Result<std::string> OriginClient::get(const OriginRequest &request, std::size_t maximumBytes)
{
    const bool isReused = m_socket.has_value();
    Core::Result<std::string> answer = tryGet(request, maximumBytes);
    const bool isBroken = !answer && !m_socket && answer.error().m_code == Core::ErrorCode::Unavailable;
    if (isReused && isBroken) {
        // The server may have closed the idle connection, which is detected only now. Reads can be repeated safely.
        return tryGet(request, maximumBytes);
    }
    return answer;
}

Core::Result<std::string> OriginClient::tryGet(const OriginRequest &request, std::size_t maximumBytes)
{
    if (!m_socket) {
        BOOST_OUTCOME_TRYV(connect());
    }
    if (!sendRequest(request)) {
        disconnect();
        return Core::makeError(Core::ErrorCode::Unavailable, "read from origin", m_origin.toString(), "the request was broken off");
    }
    return readAnswer(request, maximumBytes);
}

bool OriginClient::sendRequest(const OriginRequest &request)
{
    Poco::Net::HTTPRequest head(Poco::Net::HTTPRequest::HTTP_GET, request.m_target, Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(true);
    head.setHost(m_origin.m_host, m_origin.m_port);
    if (!request.m_range.empty()) {
        head.set("Range", request.m_range);
    }
    Poco::Net::SocketOutputStream output(*m_socket);
    head.write(output);
    output.flush();
    return output.good();
}

Core::Result<std::string> OriginClient::readAnswer(const OriginRequest &request, std::size_t maximumBytes)
{
    Network::HttpAnswerReader reader(*m_socket, "read from origin", m_origin.toString());
    reader.acceptBodyUntilClose(); // The length of a chunk is known, and every object has a digest.
    reader.setTimeLimit(m_timeouts.m_read);
    const Core::Result<void> head = reader.readHead();
    Core::Result<std::string> body = head ? readBody(reader, maximumBytes) : Core::Result<std::string>(head.error());
    if (!body || body.value().size() > maximumBytes || !reader.keepsConnection()) {
        disconnect();
    }
    if (!body) {
        return Core::makeError(Core::ErrorCode::Unavailable, "read from origin", m_origin.toString(), body.error().m_detail);
    }
    return checkAnswer(reader.status(), std::move(body.value()), maximumBytes, request.m_expectedStatus);
}

Core::Result<std::string> OriginClient::readBody(Network::HttpAnswerReader &reader, std::size_t maximumBytes) const
{
    const Core::Instant endsBy = Core::Clock::now() + m_timeouts.m_body;
    std::string body;
    std::size_t nextCheck = 0;
    bool isMoreExpected = true;
    while (isMoreExpected && body.size() <= maximumBytes) {
        if (body.size() >= nextCheck) {
            nextCheck = body.size() + MinimumProgressBytes;
            const Core::Duration left = std::chrono::duration_cast<Core::Duration>(endsBy - Core::Clock::now());
            reader.setTimeLimit(std::min(m_timeouts.m_read, left));
        }
        isMoreExpected = BOOST_OUTCOME_TRYX(reader.readPart(body));
    }
    return body;
}

Core::Result<std::string> OriginClient::checkAnswer(int status, std::string body, std::size_t maximumBytes, int expectedStatus) const
{
    if (body.size() > maximumBytes) {
        return Core::makeError(Core::ErrorCode::Corrupt, "read from origin", m_origin.toString(), "the answer is too long");
    }
    if (status != expectedStatus) {
        const Core::ErrorCode code = status == NotFound ? Core::ErrorCode::NotFound : Core::ErrorCode::Unavailable;
        return Core::makeError(code, "read from origin", m_origin.toString(), "status " + std::to_string(status));
    }
    return body;
}

}
