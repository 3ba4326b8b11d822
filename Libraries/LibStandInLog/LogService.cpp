/// @file Implementation of the log stand-in's HTTP interface.

#include "LibStandInLog/LogService.h"
#include "LibJson/Json.h"

#include <Poco/JSON/Array.h>
#include <Poco/URI.h>
#include <charconv>
#include <msgpack.hpp>

namespace StandIn {

namespace {

constexpr std::size_t MaximumSmallBodyBytes = 64 << 10;
constexpr std::size_t DefaultPageRecords = 256;

constexpr int StatusOk = 200;
constexpr int StatusNoContent = 204;
constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusTooMany = 429;
constexpr int StatusUnavailable = 503;

/// Encoding of a page in the answer to a read.
struct EncodedPage
{
    Platform::Offset m_first = 0;
    Platform::Offset m_next = 0;
    std::vector<Protocol::LogRecord> m_records;

    MSGPACK_DEFINE_MAP(MSGPACK_NVP("first", m_first), MSGPACK_NVP("next", m_next), MSGPACK_NVP("records", m_records));
};

int statusOf(Core::ErrorCode code)
{
    switch (code) {
    case Core::ErrorCode::Overloaded:
        return StatusTooMany;
    case Core::ErrorCode::Unavailable:
        return StatusUnavailable;
    default:
        return StatusBadRequest;
    }
}

/// Returns the numeric query parameter @p name, or @p fallback if it is missing or not a number.
std::uint64_t numberParameter(const Poco::URI::QueryParameters &parameters, const std::string &name, std::uint64_t fallback)
{
    for (const std::pair<std::string, std::string> &parameter : parameters) {
        if (parameter.first == name) {
            std::uint64_t value = fallback;
            std::from_chars(parameter.second.data(), parameter.second.data() + parameter.second.size(), value);
            return value;
        }
    }
    return fallback;
}

Core::Result<ListedInstance> parseInstance(const std::string &body)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(body));
    BOOST_OUTCOME_TRYV(Json::refuseUnknownFields(*object, {"address", "role", "service", "region", "failure_domain", "state"}));
    ListedInstance instance;
    instance.m_address = BOOST_OUTCOME_TRYX(Json::textOf(*object, "address"));
    BOOST_OUTCOME_TRY(Core::parseAddress(instance.m_address));
    instance.m_role = BOOST_OUTCOME_TRYX(Json::textOf(*object, "role"));
    if (object->has("service")) {
        instance.m_service = BOOST_OUTCOME_TRYX(Json::textOf(*object, "service"));
    }
    instance.m_region = BOOST_OUTCOME_TRYX(Json::textOf(*object, "region"));
    instance.m_failureDomain = BOOST_OUTCOME_TRYX(Json::textOf(*object, "failure_domain"));
    if (object->has("state")) {
        instance.m_state = BOOST_OUTCOME_TRYX(Json::textOf(*object, "state"));
    }
    return instance;
}

Core::Result<LogServiceFaults> changeLogFaults(LogServiceFaults faults, const Poco::JSON::Object &object)
{
    BOOST_OUTCOME_TRYV(Json::refuseUnknownFields(object, {"down", "slow_ms", "lose_answers", "drop_records_from", "expire_records_before", "list_down"}));
    if (object.has("down")) {
        faults.m_log.m_down = BOOST_OUTCOME_TRYX(Json::flagOf(object, "down"));
    }
    if (object.has("slow_ms")) {
        faults.m_log.m_slow = Core::Duration(static_cast<std::int64_t>(BOOST_OUTCOME_TRYX(Json::numberOf(object, "slow_ms"))));
    }
    if (object.has("lose_answers")) {
        faults.m_log.m_loseAnswers = BOOST_OUTCOME_TRYX(Json::flagOf(object, "lose_answers"));
    }
    if (object.has("list_down")) {
        faults.m_listDown = BOOST_OUTCOME_TRYX(Json::flagOf(object, "list_down"));
    }
    return faults;
}

std::string showFaults(const LogServiceFaults &faults)
{
    Poco::JSON::Object object;
    object.set("down", faults.m_log.m_down);
    object.set("slow_ms", static_cast<Poco::Int64>(faults.m_log.m_slow.count()));
    object.set("lose_answers", faults.m_log.m_loseAnswers);
    object.set("list_down", faults.m_listDown);
    return Json::toLine(object);
}

}

LogServiceSettings readLogServiceSettings(Settings::Reader &reader)
{
    constexpr std::int64_t maximumRecords = 10'000'000;
    constexpr std::int64_t maximumMilliseconds = 86'400'000;
    constexpr double maximumRate = 1'000'000;
    LogServiceSettings settings;
    settings.m_listen = reader.address("listen");
    settings.m_log.m_appendsPerSecond = reader.number("appends_per_second", 1, maximumRate, settings.m_log.m_appendsPerSecond);
    settings.m_log.m_retentionRecords =
        static_cast<std::size_t>(reader.integer("retention_records", 1, maximumRecords, static_cast<std::int64_t>(settings.m_log.m_retentionRecords)));
    settings.m_log.m_retention = reader.milliseconds("retention_ms", 0, maximumMilliseconds, 0);
    settings.m_listLag = reader.milliseconds("list_lag_ms", 0, maximumMilliseconds, settings.m_listLag.count());
    return settings;
}

LogService::LogService(const LogServiceSettings &settings)
    : m_log(settings.m_log)
    , m_list(settings.m_listLag)
    , m_faults(changeLogFaults)
{
}

void LogService::stop()
{
    m_log.stop();
}

void LogService::handle(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    try {
        route(request, response);
    } catch (const Poco::Exception &exception) {
        sendError(response, StatusBadRequest, Core::makeError(Core::ErrorCode::InvalidInput, "answer request", "", exception.displayText()));
    }
}

void LogService::route(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Poco::URI uri(request.getURI());
    std::vector<std::string> segments;
    uri.getPathSegments(segments);
    const std::string &method = request.getMethod();
    const std::string first = segments.empty() ? "" : segments.front();
    if (first == "healthz") {
        sendAnswer(response, StatusOk, "text/plain", "ok\n");
        return;
    }
    if (first == "faults") {
        answerFaults(request, response);
        return;
    }
    if (first == "instances" && segments.size() == 1 && method == "GET") {
        listInstances(response);
        return;
    }
    if (first == "instances" && segments.size() == 2 && method == "PUT") {
        putInstance(segments[1], request, response);
        return;
    }
    if (first == "instances" && segments.size() == 2 && method == "DELETE") {
        m_list.remove(segments[1], Core::Clock::now());
        sendAnswer(response, StatusNoContent, "text/plain", "");
        return;
    }
    if (first == "log" && segments.size() == 2 && method == "POST") {
        append(segments[1], request, response);
        return;
    }
    if (first == "log" && segments.size() == 2 && method == "GET") {
        read(segments[1], uri.getRawQuery(), response);
        return;
    }
    discardBody(request);
    sendError(response, StatusNotFound, Core::makeError(Core::ErrorCode::NotFound, "answer request", "", "no such path"));
}

Core::Result<void> LogService::changeFaults(const std::string &body)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(body));
    BOOST_OUTCOME_TRYV(m_faults.apply(*object));
    m_log.setFaults(m_faults.current().m_log);
    if (object->has("drop_records_from")) {
        m_log.dropRecordsFrom(static_cast<Platform::Offset>(BOOST_OUTCOME_TRYX(Json::numberOf(*object, "drop_records_from"))));
    }
    if (object->has("expire_records_before")) {
        m_log.expireRecordsBefore(static_cast<Platform::Offset>(BOOST_OUTCOME_TRYX(Json::numberOf(*object, "expire_records_before"))));
    }
    return Core::success();
}

void LogService::answerFaults(Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    if (request.getMethod() == "POST") {
        const Core::Result<std::string> body = readBody(request, MaximumSmallBodyBytes);
        const Core::Result<void> changed = body ? changeFaults(body.value()) : Core::Result<void>(body.error());
        if (!changed) {
            sendError(response, StatusBadRequest, changed.error());
            return;
        }
    }
    sendAnswer(response, StatusOk, "application/json", showFaults(m_faults.current()));
}

void LogService::append(const std::string &stream, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Core::Result<std::string> body = readBody(request, Platform::MaximumRecordBytes);
    if (!body) {
        sendError(response, StatusBadRequest, body.error());
        return;
    }
    const Core::Result<Platform::Offset> offset = m_log.append(stream, body.value());
    if (offset) {
        sendAnswer(response, StatusOk, "application/json", "{\"offset\":" + std::to_string(offset.value()) + "}");
        return;
    }
    if (offset.error().m_code == Core::ErrorCode::Ambiguous) {
        dropConnection(request);
        return;
    }
    sendError(response, statusOf(offset.error().m_code), offset.error());
}

void LogService::read(const std::string &stream, const std::string &query, Poco::Net::HTTPServerResponse &response)
{
    Poco::URI uri("/");
    uri.setRawQuery(query);
    const Poco::URI::QueryParameters parameters = uri.getQueryParameters();
    const Platform::Offset from = numberParameter(parameters, "from", 1);
    Platform::ReadOptions options;
    options.m_maximumRecords = numberParameter(parameters, "max", DefaultPageRecords);
    options.m_wait = Core::Duration(static_cast<std::int64_t>(numberParameter(parameters, "wait_ms", 0)));
    const Core::Result<Platform::LogPage> page = m_log.read(stream, from, options);
    if (!page) {
        sendError(response, statusOf(page.error().m_code), page.error());
        return;
    }
    const EncodedPage encoded{page.value().m_first, page.value().m_next, page.value().m_records};
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, encoded);
    const int status = from < encoded.m_first ? StatusGone : StatusOk;
    sendAnswer(response, status, "application/msgpack", std::string(buffer.data(), buffer.size()));
}

void LogService::putInstance(const std::string &id, Poco::Net::HTTPServerRequest &request, Poco::Net::HTTPServerResponse &response)
{
    const Core::Result<std::string> body = readBody(request, MaximumSmallBodyBytes);
    const Core::Result<ListedInstance> instance = body ? parseInstance(body.value()) : Core::Result<ListedInstance>(body.error());
    if (!instance) {
        sendError(response, StatusBadRequest, instance.error());
        return;
    }
    m_list.put(id, instance.value(), Core::Clock::now());
    sendAnswer(response, StatusNoContent, "text/plain", "");
}

void LogService::listInstances(Poco::Net::HTTPServerResponse &response)
{
    if (m_faults.current().m_listDown) {
        sendError(response, StatusUnavailable, Core::makeError(Core::ErrorCode::Unavailable, "list instances", "", "the list is down"));
        return;
    }
    Poco::JSON::Array::Ptr rows = new Poco::JSON::Array;
    for (const std::pair<const std::string, ListedInstance> &entry : m_list.visible(Core::Clock::now())) {
        Poco::JSON::Object::Ptr row = new Poco::JSON::Object;
        row->set("id", entry.first);
        row->set("address", entry.second.m_address);
        row->set("role", entry.second.m_role);
        row->set("service", entry.second.m_service);
        row->set("region", entry.second.m_region);
        row->set("failure_domain", entry.second.m_failureDomain);
        row->set("state", entry.second.m_state);
        rows->add(row);
    }
    Poco::JSON::Object object;
    object.set("instances", rows);
    sendAnswer(response, StatusOk, "application/json", Json::toLine(object));
}

}
