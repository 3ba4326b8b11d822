/// @file Header fields of HTTP messages, in the order of their arrival, and request targets.
#pragma once

#include "LibCore/Clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

struct HeaderField
{
    std::string m_name;
    std::string m_value;

    bool operator==(const HeaderField &) const = default;
};

using HeaderFields = std::vector<HeaderField>;

/// Compares two field names without regard to case.
bool isSameName(std::string_view left, std::string_view right);

/// Returns the value of the first field with that name, or null if there is none.
const std::string *findField(const HeaderFields &fields, std::string_view name);

/// Returns the value of the first field with that name, or an empty text if there is none.
std::string fieldText(const HeaderFields &fields, std::string_view name);

/// Parses the text as a decimal number. Returns nothing if the text contains anything else or the number does not fit.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Parses the text as a decimal number that is not negative, without an exponent.
std::optional<double> parseDecimal(const std::string &text);

/// Parses the value of Retry-After as seconds, which may have a fraction. Returns nothing for a date, whose meaning depends on clocks that may differ.
std::optional<Core::Duration> parseRetryAfter(const std::string &value);

/// Returns the value of Retry-After, in seconds with a fraction.
std::string retryAfterText(Core::Duration duration);

/// Returns whether a field concerns one connection only and must not be passed on. @p connectionValue is the value of the Connection field.
bool isConnectionField(std::string_view name, std::string_view connectionValue);

/// Returns the fields that may be passed on: all except those of the connection and those that state the body's framing.
HeaderFields endToEndFields(const HeaderFields &fields);

/**
 * Returns whether the fields state no transfer coding other than chunks. The parser itself rejects differing lengths and a length together with chunks. But it
 * takes a request with another coding for one without a body, so that the bytes of the body would be read as the next request, and decodes no other coding in
 * an answer.
 */
bool hasKnownTransferCoding(const HeaderFields &fields);

/// Returns the host in lower case without the port.
std::string hostName(std::string_view hostField);

/// Returns the part of a request target before the query.
std::string pathOf(std::string_view target);

/// Returns the decoded value of a query parameter, or nothing if it is absent or its encoding is invalid.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

}
