/// @file Implementation of the bounded JSON reading.

#include "LibStandIn/Json.h"

#include <Poco/JSON/Parser.h>
#include <sstream>

namespace StandIn {

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

Core::Result<Poco::JSON::Object::Ptr> parseJsonObject(const std::string &text)
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

Core::Result<bool> jsonFlag(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (!value.isBoolean()) {
        return wrongField(field, "true or false");
    }
    return value.convert<bool>();
}

Core::Result<double> jsonNumber(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (value.isEmpty() || value.isBoolean() || !value.isNumeric()) {
        return wrongField(field, "a number");
    }
    return value.convert<double>();
}

Core::Result<std::string> jsonText(const Poco::JSON::Object &object, const std::string &field)
{
    const Poco::Dynamic::Var value = valueOf(object, field);
    if (!value.isString()) {
        return wrongField(field, "a text");
    }
    return value.convert<std::string>();
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

std::string jsonLine(const Poco::JSON::Object &object)
{
    std::ostringstream text;
    object.stringify(text);
    text << '\n';
    return text.str();
}

std::string jsonError(const Core::Error &error)
{
    Poco::JSON::Object details;
    details.set("code", std::string(Core::errorCodeName(error.m_code)));
    details.set("step", error.m_step);
    details.set("detail", error.m_detail);
    Poco::JSON::Object object;
    object.set("error", details);
    return jsonLine(object);
}

}
