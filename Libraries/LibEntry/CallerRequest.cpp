/// @file Parsing of callers' requests.

#include "LibEntry/CallerRequest.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Parser.h>
#include <charconv>

namespace Entry {

namespace {

constexpr std::size_t MaximumNameBytes = 128;
constexpr std::size_t MaximumPathBytes = 2048;
constexpr std::size_t MaximumDepth = 8;
constexpr std::string_view CallPrefix = "/v1/call/";

Core::Error invalid(const std::string &detail)
{
    return Core::makeError(Core::ErrorCode::InvalidInput, "read request", "", detail);
}

bool isNameCharacter(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_' || character == '.';
}

Core::Result<std::string> checkedName(const std::string &what, const std::string &name)
{
    if (name.empty() || name.size() > MaximumNameBytes || !std::all_of(name.begin(), name.end(), isNameCharacter)) {
        return invalid(what + " must be 1 to 128 letters, digits, dots, dashes or underscores");
    }
    return name;
}

Core::Result<std::int64_t> parseInteger(const std::string &what, const std::string &text, std::int64_t minimum, std::int64_t maximum)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, value);
    if (result.ec != std::errc() || result.ptr != end || value < minimum || value > maximum) {
        return invalid(what + " must be a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    }
    return value;
}

Core::Result<std::int32_t> parsePriority(const RequestHeaders &headers)
{
    if (headers.m_priority.empty()) {
        return 0;
    }
    const std::int64_t priority = BOOST_OUTCOME_TRYX(parseInteger("Oriolerail-Priority", headers.m_priority, -MaximumPriority, MaximumPriority));
    return static_cast<std::int32_t>(priority);
}

Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &body)
{
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumDepth);
        return parser.parse(body).extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &) {
        return invalid("the body must be a JSON object");
    }
}

Core::Result<std::string> textField(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = object.get(field);
    if (!value.isString()) {
        return invalid(field + " must be a text");
    }
    return value.extract<std::string>();
}

Core::Result<std::int64_t>
integerField(const Poco::JSON::Object &object, const std::string &field, std::int64_t minimum, std::int64_t maximum, std::int64_t fallback)
{
    const Poco::Dynamic::Var value = object.get(field);
    if (value.isEmpty()) {
        return fallback;
    }
    if (!value.isInteger()) {
        return invalid(field + " must be a whole number");
    }
    const Core::Error outOfRange = invalid(field + " must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    try {
        const std::int64_t number = value.convert<std::int64_t>();
        return number < minimum || number > maximum ? Core::Result<std::int64_t>(outOfRange) : Core::Result<std::int64_t>(number);
    } catch (const Poco::Exception &) {
        return outOfRange; // Beyond 64 bits with a sign.
    }
}

}

Core::Result<GenerateRequest> parseGenerate(const std::string &body, const RequestHeaders &headers, const CallerLimits &limits)
{
    const Poco::JSON::Object::Ptr object = BOOST_OUTCOME_TRYX(parseObject(body));
    GenerateRequest request;
    request.m_account = BOOST_OUTCOME_TRYX(checkedName("account", BOOST_OUTCOME_TRYX(textField(*object, "account"))));
    request.m_template = BOOST_OUTCOME_TRYX(checkedName("template", BOOST_OUTCOME_TRYX(textField(*object, "template"))));
    request.m_prompt = BOOST_OUTCOME_TRYX(textField(*object, "prompt"));
    const std::int64_t tokens = BOOST_OUTCOME_TRYX(integerField(*object, "max_tokens", 1, limits.m_maximumTokens, limits.m_defaultTokens));
    request.m_maximumTokens = static_cast<std::uint32_t>(tokens);
    const std::int32_t fallback = BOOST_OUTCOME_TRYX(parsePriority(headers));
    const std::int64_t priority = BOOST_OUTCOME_TRYX(integerField(*object, "priority", -MaximumPriority, MaximumPriority, fallback));
    request.m_priority = static_cast<std::int32_t>(priority);
    return request;
}

Core::Result<CallRequest> parseCall(const std::string &path, std::string body, const RequestHeaders &headers)
{
    if (!path.starts_with(CallPrefix) || path.size() > MaximumPathBytes) {
        return invalid("the path must be /v1/call/{service}/{path} of at most 2048 bytes");
    }
    const std::string rest = path.substr(CallPrefix.size());
    const std::size_t slash = rest.find('/');
    CallRequest request;
    request.m_service = BOOST_OUTCOME_TRYX(checkedName("the service", rest.substr(0, slash)));
    request.m_path = slash == std::string::npos ? "/" : rest.substr(slash);
    request.m_account = BOOST_OUTCOME_TRYX(checkedName("Oriolerail-Account", headers.m_account));
    request.m_priority = BOOST_OUTCOME_TRYX(parsePriority(headers));
    if (!headers.m_key.empty()) {
        request.m_key = BOOST_OUTCOME_TRYX(Claims::parseClaimKey(headers.m_key));
    }
    request.m_body = std::move(body);
    return request;
}

Core::Result<Core::Duration> parseTimeout(const RequestHeaders &headers, const CallerLimits &limits)
{
    if (headers.m_timeout.empty()) {
        return limits.m_defaultTimeout;
    }
    const std::int64_t milliseconds = BOOST_OUTCOME_TRYX(parseInteger("Oriolerail-Timeout-Ms", headers.m_timeout, 1, limits.m_maximumTimeout.count()));
    return Core::Duration(milliseconds);
}

}
