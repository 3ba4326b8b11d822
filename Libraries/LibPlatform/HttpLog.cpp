/// @file Implementation of the log client.

#include "LibPlatform/HttpLog.h"
#include "LibPlatform/HttpExchange.h"
#include "LibWire/Pack.h"

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>

namespace Platform {

namespace {

constexpr std::size_t MaximumPageBytes = 64 << 20;
constexpr std::size_t MaximumPageRecords = 4096;
constexpr int Ok = 200;
constexpr int Gone = 410;
constexpr int TooManyRequests = 429;
constexpr int ServiceUnavailable = 503;

/// A page as the log service encodes it.
struct EncodedPage
{
    Offset m_first = 0;
    Offset m_next = 0;
    std::vector<Protocol::LogRecord> m_records;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("first", m_first), MSGPACK_NVP("next", m_next), MSGPACK_NVP("records", m_records));
};

Core::Error errorForStatus(const std::string &step, const std::string &peer, int status)
{
    switch (status) {
    case TooManyRequests:
        return Core::makeError(Core::ErrorCode::Overloaded, step, peer, "over the log's append rate");
    case ServiceUnavailable:
        return Core::makeError(Core::ErrorCode::Unavailable, step, peer, "the log is down");
    default:
        return Core::makeError(Core::ErrorCode::Internal, step, peer, "unexpected status " + std::to_string(status));
    }
}

/// Parses the offset that an append returned. Fails with Ambiguous if the answer is unreadable, since the record is then at an unknown offset.
Core::Result<Offset> parseOffset(const std::string &body, const std::string &peer)
{
    try {
        Poco::JSON::Parser parser;
        const Poco::JSON::Object::Ptr object = parser.parse(body).extract<Poco::JSON::Object::Ptr>();
        return static_cast<Offset>(object->getValue<Poco::UInt64>("offset"));
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::Ambiguous, "append record", peer, "unreadable answer: " + exception.displayText());
    }
}

/// Fails with Corrupt if the records have gaps or are out of order, since readers would then derive different states.
Core::Result<LogPage> checkPage(EncodedPage encoded, Offset from, const std::string &peer)
{
    LogPage page{encoded.m_first, encoded.m_next, std::move(encoded.m_records)};
    Offset expected = from;
    for (const Protocol::LogRecord &record : page.m_records) {
        if (record.m_offset != expected || record.m_offset >= page.m_next) {
            return Core::makeError(Core::ErrorCode::Corrupt, "read log", peer, "the page has a gap at offset " + std::to_string(expected));
        }
        ++expected;
    }
    return page;
}

}

HttpLog::HttpLog(Network::NetworkSettings network, Core::Address server, Core::Duration timeout)
    : m_network(std::move(network))
    , m_server(std::move(server))
    , m_timeout(timeout)
{
}

Core::Result<Offset> HttpLog::append(const std::string &stream, const std::string &body)
{
    const std::string step = "append record";
    const std::string peer = m_server.toString();
    if (body.size() > MaximumRecordBytes) {
        return Core::makeError(Core::ErrorCode::InvalidInput, step, peer, "the record is longer than " + std::to_string(MaximumRecordBytes) + " bytes");
    }
    HttpRequest request;
    request.m_step = step;
    request.m_method = "POST";
    request.m_target = "/log/" + stream;
    request.m_body = body;
    request.m_timeout = m_timeout;
    const HttpAnswer answer = BOOST_OUTCOME_TRYX(exchangeHttp(m_network, m_server, request));
    if (answer.m_status != Ok) {
        return errorForStatus(step, peer, answer.m_status);
    }
    return parseOffset(answer.m_body, peer);
}

Core::Result<LogPage> HttpLog::read(const std::string &stream, Offset from, const ReadOptions &options)
{
    const std::string peer = m_server.toString();
    const std::size_t maximum = std::min(options.m_maximumRecords, MaximumPageRecords);
    HttpRequest request;
    request.m_step = "read log";
    request.m_target =
        "/log/" + stream + "?from=" + std::to_string(from) + "&max=" + std::to_string(maximum) + "&wait_ms=" + std::to_string(options.m_wait.count());
    request.m_timeout = m_timeout + options.m_wait;
    request.m_maximumAnswerBytes = MaximumPageBytes;
    const HttpAnswer answer = BOOST_OUTCOME_TRYX(exchangeHttp(m_network, m_server, request));
    if (answer.m_status != Ok && answer.m_status != Gone) {
        return errorForStatus(request.m_step, peer, answer.m_status);
    }
    EncodedPage page = BOOST_OUTCOME_TRYX(Wire::unpack<EncodedPage>(answer.m_body, peer));
    return checkPage(std::move(page), from, peer);
}

}
