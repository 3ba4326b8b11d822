/// @file Bounded reading of JSON objects from outside.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Json {

/// Parses one object; fails with InvalidInput when it is malformed, nested too deep or not an object.
Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text);

/// The value of a field, or InvalidInput if it has another type. The overloads differ by the wanted type.
Core::Result<bool> flagOf(const Poco::JSON::Object &object, const std::string &field);
Core::Result<double> numberOf(const Poco::JSON::Object &object, const std::string &field);
Core::Result<std::string> textOf(const Poco::JSON::Object &object, const std::string &field);

/// The value of a field if it is there with the wanted type; empty otherwise. For records that others write, of which the rest still holds.
std::optional<bool> optionalFlag(const Poco::JSON::Object &object, const std::string &field);
std::optional<double> optionalNumber(const Poco::JSON::Object &object, const std::string &field);
/// Whole numbers from 0 on.
std::optional<std::uint64_t> optionalCount(const Poco::JSON::Object &object, const std::string &field);
std::optional<std::string> optionalText(const Poco::JSON::Object &object, const std::string &field);
/// Null if the field is absent or no object.
Poco::JSON::Object::Ptr optionalObject(const Poco::JSON::Object &object, const std::string &field);
/// The elements of a list that are objects, or texts; empty if the field is absent or no list.
std::vector<Poco::JSON::Object::Ptr> objectsOf(const Poco::JSON::Object &object, const std::string &field);
std::vector<std::string> textsOf(const Poco::JSON::Object &object, const std::string &field);

/// Fails with InvalidInput if the object has a field outside @p known.
Core::Result<void> refuseUnknownFields(const Poco::JSON::Object &object, const std::vector<std::string> &known);

/// JSON text of an object on one line.
std::string toLine(const Poco::JSON::Object &object);

/// A JSON object with one error, as a refused request is answered.
std::string errorLine(const Core::Error &error);

}
