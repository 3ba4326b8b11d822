/// @file Implementation of bounded JSON reading.

#include "LibJson/Json.h"

#include <Poco/JSON/Parser.h>
#include <sstream>

namespace Json {

namespace {

constexpr std::size_t MaximumDepth = 16;

Core::Error wrongField(const std::string &field, const std::string &expected)
{
    return Core::makeError(Core::ErrorCode::InvalidInput, "read JSON", "", field + ": expected " + expected);
}

Poco::Dynamic::Var valueOf(const Poco::JSON::Object &object, const std::string &field)
{
    return object.get(field);
}

}

Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text)
{
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
    return value.convert<double>();
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

std::optional<std::uint64_t> optionalCount(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (value.isEmpty() || value.isBoolean() || !value.isInteger()) {
        return std::nullopt;
    }
    try {
        return value.convert<std::uint64_t>();
    } catch (const Poco::Exception &) {
        return std::nullopt; // A negative number.
    }
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

std::vector<Poco::JSON::Object::Ptr> objectsOf(const Poco::JSON::Object &object, const std::string &field)
{
    std::vector<Poco::JSON::Object::Ptr> objects;
    const Poco::JSON::Array::Ptr list = object.getArray(field);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const Poco::JSON::Object::Ptr element = list->getObject(static_cast<unsigned>(index));
        if (element) {
            objects.push_back(element);
        }
    }
    return objects;
}

std::vector<std::string> textsOf(const Poco::JSON::Object &object, const std::string &field)
{
    std::vector<std::string> texts;
    const Poco::JSON::Array::Ptr list = object.getArray(field);
    for (std::size_t index = 0; list && index < list->size(); ++index) {
        const Poco::Dynamic::Var element = list->get(static_cast<unsigned>(index));
        if (element.isString()) {
            texts.push_back(element.convert<std::string>());
        }
    }
    return texts;
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
