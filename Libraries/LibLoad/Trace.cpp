/// @file Implementation of the trace format.

#include "LibLoad/Trace.h"

#include "LibJson/Json.h"

#include <fstream>

namespace Load {

namespace {

constexpr double MaximumMilliseconds = 86400000;
constexpr double MaximumTokens = 100000;
constexpr double PriorityBound = 1000000;

Core::Result<double> numberWithin(const Poco::JSON::Object &object, const std::string &field, double minimum, double maximum, double fallback)
{
    if (!object.has(field)) {
        return fallback;
    }
    const double value = BOOST_OUTCOME_TRYX(Json::numberOf(object, field));
    if (!(value >= minimum && value <= maximum)) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read trace", "", field + ": out of range");
    }
    return value;
}

Core::Result<std::string> textOr(const Poco::JSON::Object &object, const std::string &field, const std::string &fallback)
{
    return object.has(field) ? Json::textOf(object, field) : Core::Result<std::string>(fallback);
}

Core::Result<std::string> parseExpectedOutcome(const Poco::JSON::Object &object)
{
    const std::string expected = BOOST_OUTCOME_TRYX(textOr(object, "expect", ""));
    const std::vector<std::string> known{"", "any", "ok", "not-run", "unknown", "failed", "wrong"};
    if (std::find(known.begin(), known.end(), expected) == known.end()) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read trace", "", "expect: " + expected + " is no outcome");
    }
    return expected;
}

}

std::string traceLine(const Request &request, const Observation &observation)
{
    Poco::JSON::Object object;
    object.set("at_ms", request.m_at.count());
    object.set("kind", std::string(request.m_kind == RequestKind::Call ? "call" : "generate"));
    object.set("account", request.m_account);
    object.set("name", request.m_name);
    if (request.m_kind == RequestKind::Call) {
        object.set("path", request.m_path);
        object.set("keyed", request.m_isKeyed);
    } else {
        object.set("max_tokens", request.m_maximumTokens);
    }
    object.set("prompt", request.m_prompt);
    object.set("priority", request.m_priority);
    object.set("timeout_ms", request.m_timeout.count());
    object.set("expect", std::string(outcomeName(observation.m_outcome)));
    Poco::JSON::Object observed;
    observed.set("code", observation.m_code);
    observed.set("status", observation.m_status);
    observed.set("key", observation.m_key);
    observed.set("entry", observation.m_entry);
    observed.set("version", observation.m_version);
    observed.set("digest", observation.m_digest);
    observed.set("tokens", observation.m_tokens);
    observed.set("retries", observation.m_retries);
    observed.set("broken_tries", observation.m_brokenTries);
    observed.set("first_token_ms", observation.m_firstTokenMs);
    observed.set("total_ms", observation.m_totalMs);
    object.set("observed", observed);
    return Json::toLine(object);
}

Core::Result<Request> parseTraceLine(const std::string &line, std::uint64_t index)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(Json::parseObject(line));
    BOOST_OUTCOME_TRYV(Json::refuseUnknownFields(
        *object, {"at_ms", "kind", "account", "name", "path", "keyed", "max_tokens", "prompt", "priority", "timeout_ms", "expect", "observed"}));
    const std::string kind = BOOST_OUTCOME_TRYX(Json::textOf(*object, "kind"));
    if (kind != "generate" && kind != "call") {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read trace", "", "kind: expected generate or call");
    }
    constexpr double defaultTimeoutMs = 30000;
    Request request;
    request.m_index = index;
    request.m_kind = kind == "call" ? RequestKind::Call : RequestKind::Generate;
    request.m_at = Core::Duration(static_cast<std::int64_t>(BOOST_OUTCOME_TRYX(numberWithin(*object, "at_ms", 0, MaximumMilliseconds, 0))));
    request.m_account = BOOST_OUTCOME_TRYX(Json::textOf(*object, "account"));
    request.m_name = BOOST_OUTCOME_TRYX(Json::textOf(*object, "name"));
    request.m_path = BOOST_OUTCOME_TRYX(textOr(*object, "path", ""));
    request.m_isKeyed = object->has("keyed") && BOOST_OUTCOME_TRYX(Json::flagOf(*object, "keyed"));
    request.m_prompt = BOOST_OUTCOME_TRYX(Json::textOf(*object, "prompt"));
    request.m_maximumTokens = static_cast<std::uint32_t>(BOOST_OUTCOME_TRYX(numberWithin(*object, "max_tokens", 0, MaximumTokens, 0)));
    request.m_priority = static_cast<std::int32_t>(BOOST_OUTCOME_TRYX(numberWithin(*object, "priority", -PriorityBound, PriorityBound, 0)));
    request.m_timeout =
        Core::Duration(static_cast<std::int64_t>(BOOST_OUTCOME_TRYX(numberWithin(*object, "timeout_ms", 1, MaximumMilliseconds, defaultTimeoutMs))));
    request.m_expected = BOOST_OUTCOME_TRYX(parseExpectedOutcome(*object));
    return request;
}

Core::Result<std::vector<Request>> readTrace(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return Core::makeError(Core::ErrorCode::NotFound, "read trace", path, "the file cannot be read");
    }
    std::vector<Request> requests;
    std::string line;
    int number = 0;
    while (std::getline(file, line)) {
        ++number;
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (line.size() > MaximumTraceLineBytes || requests.size() == MaximumTraceRequests) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read trace", path, "line " + std::to_string(number) + ": the trace is too large");
        }
        const Core::Result<Request> request = parseTraceLine(line, requests.size());
        if (!request) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read trace", path, "line " + std::to_string(number) + ": " + request.error().m_detail);
        }
        requests.push_back(request.value());
    }
    return requests;
}

}
