/// @file Header fields of HTTP messages, in the order in which they came.
#pragma once

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

/// Names compare without regard to case.
bool isSameName(std::string_view left, std::string_view right);

/// Value of the first field of that name; null if there is none.
const std::string *findField(const HeaderFields &fields, std::string_view name);

/// The whole text as a decimal number; empty if it is anything else or does not fit.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Whether a field concerns one connection only and must not be passed on. @p connectionValue is the value of the Connection field.
bool isConnectionField(std::string_view name, std::string_view connectionValue);

/// The fields that may be passed on: all but those of the connection and those that state the body's framing.
HeaderFields endToEndFields(const HeaderFields &fields);

/// Lower-case host without a port.
std::string hostName(std::string_view hostField);

/// The part of a request target before the query.
std::string pathOf(std::string_view target);

/// The decoded value of a query parameter; empty if it is absent or badly encoded.
std::optional<std::string> queryValue(std::string_view target, std::string_view name);

}
