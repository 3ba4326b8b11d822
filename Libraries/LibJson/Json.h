/// @file Bounded reading of JSON objects from other programs, and JSON text on one line.
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

/// Each returns the value of a field, or fails with InvalidInput if the field is absent or has another type.
Core::Result<bool> flagOf(const Poco::JSON::Object &object, const std::string &field);
Core::Result<double> numberOf(const Poco::JSON::Object &object, const std::string &field);
Core::Result<std::string> textOf(const Poco::JSON::Object &object, const std::string &field);

/// Each returns the value of a field if it is present with the right type, and nothing otherwise. For records of other programs, whose other fields
/// remain usable.
std::optional<bool> optionalFlag(const Poco::JSON::Object &object, const std::string &field);
std::optional<double> optionalNumber(const Poco::JSON::Object &object, const std::string &field);
/// Accepts whole numbers of at least 0.
std::optional<std::uint64_t> optionalCount(const Poco::JSON::Object &object, const std::string &field);
std::optional<std::string> optionalText(const Poco::JSON::Object &object, const std::string &field);
/// Returns null if the field is absent or not an object.
Poco::JSON::Object::Ptr optionalObject(const Poco::JSON::Object &object, const std::string &field);
/// Each returns the elements of a list that are objects or texts; empty if the field is absent or not a list.
std::vector<Poco::JSON::Object::Ptr> objectsOf(const Poco::JSON::Object &object, const std::string &field);
std::vector<std::string> textsOf(const Poco::JSON::Object &object, const std::string &field);

/// Fails with InvalidInput if the object has a field outside @p known.
Core::Result<void> refuseUnknownFields(const Poco::JSON::Object &object, const std::vector<std::string> &known);

/// Returns the JSON text of an object on one line, with a line break at its end.
std::string toLine(const Poco::JSON::Object &object);

/// Returns a JSON object with one error on one line, as sent in answer to a refused request.
std::string errorLine(const Core::Error &error);

}
