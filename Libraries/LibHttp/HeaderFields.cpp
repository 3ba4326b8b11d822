/// @file Implementation of the helpers for header fields and request targets.

#include "LibHttp/HeaderFields.h"

#include <Poco/Exception.h>
#include <Poco/URI.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace Http {

namespace {

/// Fields of one connection (RFC 9110, section 7.6.1), and Expect, which the relay answers itself.
constexpr std::array<std::string_view, 9> ConnectionFields{
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade", "expect", "proxy-authorization"};

char lowerCase(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) {
        text.remove_suffix(1);
    }
    return text;
}

bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (isSameName(trimmed(list.substr(0, comma)), name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

}

bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

const std::string *findField(const HeaderFields &fields, std::string_view name)
{
    for (const HeaderField &field : fields) {
        if (isSameName(field.m_name, name)) {
            return &field.m_value;
        }
    }
    return nullptr;
}

std::string fieldText(const HeaderFields &fields, std::string_view name)
{
    const std::string *value = findField(fields, name);
    return value ? *value : std::string();
}

std::optional<double> parseDecimal(const std::string &text)
{
    double number = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
    const bool isDecimal = result.ec == std::errc() && result.ptr == text.data() + text.size() && std::isfinite(number) && number >= 0;
    return isDecimal ? std::optional<double>(number) : std::nullopt;
}

std::optional<Core::Duration> parseRetryAfter(const std::string &value)
{
    constexpr double millisecondsPerSecond = 1000;
    constexpr double maximumSeconds = 1e9; // Decades; larger values would exceed the range of time points.
    const std::optional<double> seconds = parseDecimal(value);
    if (!seconds) {
        return std::nullopt;
    }
    return Core::Duration(static_cast<std::int64_t>(std::ceil(std::min(*seconds, maximumSeconds) * millisecondsPerSecond)));
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || result.ec != std::errc() || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

std::string retryAfterText(Core::Duration duration)
{
    constexpr double millisecondsPerSecond = 1000;
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(duration.count()) / millisecondsPerSecond);
    return text.data();
}

bool isConnectionField(std::string_view name, std::string_view connectionValue)
{
    const bool isFixed =
        std::any_of(ConnectionFields.begin(), ConnectionFields.end(), [name](std::string_view candidate) { return isSameName(name, candidate); });
    return isFixed || listContains(connectionValue, name);
}

HeaderFields endToEndFields(const HeaderFields &fields)
{
    std::string connection;
    for (const HeaderField &field : fields) {
        if (isSameName(field.m_name, "Connection")) {
            connection += (connection.empty() ? "" : ",") + field.m_value;
        }
    }
    HeaderFields kept;
    for (const HeaderField &field : fields) {
        if (!isConnectionField(field.m_name, connection) && !isSameName(field.m_name, "Content-Length")) {
            kept.push_back(field);
        }
    }
    return kept;
}

bool hasKnownTransferCoding(const HeaderFields &fields)
{
    std::size_t codings = 0;
    for (const HeaderField &field : fields) {
        if (!isSameName(field.m_name, "Transfer-Encoding")) {
            continue;
        }
        ++codings;
        if (!isSameName(field.m_value, "chunked")) {
            return false;
        }
    }
    return codings < 2;
}

std::string hostName(std::string_view hostField)
{
    std::string host(trimmed(hostField.substr(0, hostField.rfind(':'))));
    std::transform(host.begin(), host.end(), host.begin(), lowerCase);
    return host;
}

std::string pathOf(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::optional<std::string> queryValue(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    std::string_view rest = question == std::string_view::npos ? std::string_view() : target.substr(question + 1);
    while (!rest.empty()) {
        const std::size_t ampersand = rest.find('&');
        const std::string_view parameter = rest.substr(0, ampersand);
        const std::size_t equals = parameter.find('=');
        if (equals != std::string_view::npos && parameter.substr(0, equals) == name) {
            std::string decoded;
            try {
                Poco::URI::decode(std::string(parameter.substr(equals + 1)), decoded, true);
            } catch (const Poco::Exception &) {
                return std::nullopt;
            }
            return decoded;
        }
        rest = ampersand == std::string_view::npos ? std::string_view() : rest.substr(ampersand + 1);
    }
    return std::nullopt;
}

}
