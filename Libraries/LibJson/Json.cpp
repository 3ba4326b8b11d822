/// @file Implementation of bounded JSON reading.

#include "LibJson/Json.h"

#include <Poco/JSON/Parser.h>
#include <cmath>
#include <functional>
#include <limits>
#include <sstream>

namespace Json {

namespace {

constexpr std::size_t MaximumDepth = 16;
/// Many times the values of a page of the log or of a manifest. A value of one character takes up to a hundred times its size in memory.
constexpr std::size_t MaximumValues = 1 << 18;

bool hasTooManyValues(std::string_view text)
{
    std::size_t values = 0;
    bool isInText = false;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const char character = text[index];
        if (isInText && character == '\\') {
            ++index;
        } else if (character == '"') {
            isInText = !isInText;
        } else if (!isInText && (character == ',' || character == '[' || character == '{')) {
            ++values;
        }
    }
    return values > MaximumValues;
}

Core::Error wrongField(const std::string &field, const std::string &expected)
{
    return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", field + ": expected " + expected);
}

Poco::Dynamic::Var valueOf(const Poco::JSON::Object &object, const std::string &field)
{
    return object.get(field);
}

std::optional<std::uint64_t> readCount(const Poco::Dynamic::Var &value)
{
    if (value.isEmpty() || value.isBoolean() || !value.isInteger()) {
        return std::nullopt;
    }
    try {
        return value.convert<std::uint64_t>();
    } catch (const Poco::Exception &) {
        return std::nullopt; // A negative number.
    }
}

std::optional<std::uint32_t> readCount32(const Poco::Dynamic::Var &value)
{
    const std::optional<std::uint64_t> count = readCount(value);
    return count && *count <= std::numeric_limits<std::uint32_t>::max() ? std::optional<std::uint32_t>(static_cast<std::uint32_t>(*count)) : std::nullopt;
}

/// Returns a list of the elements that @p read can read.
template <typename T>
List<T> listOf(const Poco::JSON::Object &object, const std::string &field, const std::function<std::optional<T>(const Poco::Dynamic::Var &)> &read)
{
    List<T> list;
    list.m_isPresent = object.has(field);
    const Poco::JSON::Array::Ptr elements = object.getArray(field);
    if (!elements) {
        list.m_unreadable = list.m_isPresent ? 1 : 0;
        return list;
    }
    for (std::size_t index = 0; index < elements->size(); ++index) {
        std::optional<T> element = read(elements->get(static_cast<unsigned>(index)));
        if (element) {
            list.m_items.push_back(std::move(*element));
        } else {
            ++list.m_unreadable;
        }
    }
    return list;
}

}

Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text)
{
    if (hasTooManyValues(text)) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", "more than " + std::to_string(MaximumValues) + " values");
    }
    try {
        Poco::JSON::Parser parser;
        parser.setDepth(MaximumDepth);
        const Poco::Dynamic::Var value = parser.parse(text);
        if (value.type() != typeid(Poco::JSON::Object::Ptr)) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", "expected an object");
        }
        return value.extract<Poco::JSON::Object::Ptr>();
    } catch (const Poco::Exception &exception) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", exception.displayText());
    } catch (const std::exception &exception) {
        return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", exception.what());
    }
}

Core::Result<bool> flagOf(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (!value.isBoolean()) {
        return wrongField(field, "true or false");
    }
    return value.convert<bool>();
}

Core::Result<double> numberOf(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (value.isEmpty() || value.isBoolean() || !value.isNumeric()) {
        return wrongField(field, "a number");
    }
    const double number = value.convert<double>();
    if (!(std::abs(number) <= MaximumNumber)) {
        return wrongField(field, "a number of at most 15 digits");
    }
    return number;
}

Core::Result<std::string> textOf(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (!value.isString()) {
        return wrongField(field, "a text");
    }
    return value.convert<std::string>();
}

std::optional<bool> optionalFlag(const Poco::JSON::Object &object, const std::string &field)
{
    const Core::Result<bool> value = flagOf(object, field);
    return value ? std::optional<bool>(value.value()) : std::nullopt;
}

std::optional<double> optionalNumber(const Poco::JSON::Object &object, const std::string &field)
{
    const Core::Result<double> value = numberOf(object, field);
    return value ? std::optional<double>(value.value()) : std::nullopt;
}

std::optional<double> optionalNumberWithin(const Poco::JSON::Object &object, const std::string &field, double minimum, double maximum)
{
    const std::optional<double> number = optionalNumber(object, field);
    return number && *number >= minimum && *number <= maximum ? number : std::nullopt;
}

std::optional<std::uint64_t> optionalCount(const Poco::JSON::Object &object, const std::string &field)
{
    return readCount(valueOf(object, field));
}

std::optional<std::uint32_t> optionalCount32(const Poco::JSON::Object &object, const std::string &field)
{
    return readCount32(valueOf(object, field));
}

std::optional<std::string> optionalText(const Poco::JSON::Object &object, const std::string &field)
{
    const Core::Result<std::string> value = textOf(object, field);
    return value ? std::optional<std::string>(value.value()) : std::nullopt;
}

Poco::JSON::Object::Ptr optionalObject(const Poco::JSON::Object &object, const std::string &field)
{
    return object.getObject(field);
}

List<Poco::JSON::Object::Ptr> objectsOf(const Poco::JSON::Object &object, const std::string &field)
{
    return listOf<Poco::JSON::Object::Ptr>(object, field, [](const Poco::Dynamic::Var &element) {
        const bool isObject = element.type() == typeid(Poco::JSON::Object::Ptr);
        return isObject ? std::optional<Poco::JSON::Object::Ptr>(element.extract<Poco::JSON::Object::Ptr>()) : std::nullopt;
    });
}

List<std::string> textsOf(const Poco::JSON::Object &object, const std::string &field)
{
    return listOf<std::string>(object, field, [](const Poco::Dynamic::Var &element) {
        return element.isString() ? std::optional<std::string>(element.convert<std::string>()) : std::nullopt;
    });
}

List<std::uint32_t> counts32Of(const Poco::JSON::Object &object, const std::string &field)
{
    return listOf<std::uint32_t>(object, field, readCount32);
}

Core::Result<void> refuseUnknownFields(const Poco::JSON::Object &object, const std::vector<std::string> &known)
{
    for (const std::string &name : object.getNames()) {
        if (std::find(known.begin(), known.end(), name) == known.end()) {
            return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", name + ": unknown field");
        }
    }
    return Core::success();
}

std::string toLine(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    text << '\n';
    return text.str();
}

std::string errorLine(const Core::Error &error)
{
    Poco::JSON::Object details;
    details.set("code", std::string(Core::errorCodeName(error.m_code)));
    details.set("step", error.m_step);
    details.set("detail", error.m_detail);
    Poco::JSON::Object object;
    object.set("error", details);
    return toLine(object);
}

}
