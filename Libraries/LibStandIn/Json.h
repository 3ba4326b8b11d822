/// @file Bounded reading of JSON objects from requests.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <string>
#include <string_view>
#include <vector>

namespace StandIn {

/// Parses one object; fails with InvalidInput when it is malformed, nested too deep or not an object.
Core::Result<Poco::JSON::Object::Ptr> parseJsonObject(const std::string &text);

/// The value of a field, or InvalidInput if it has another type. The overloads differ by the wanted type.
Core::Result<bool> jsonFlag(const Poco::JSON::Object &object, const std::string &field);
Core::Result<double> jsonNumber(const Poco::JSON::Object &object, const std::string &field);
Core::Result<std::string> jsonText(const Poco::JSON::Object &object, const std::string &field);

/// Fails with InvalidInput if the object has a field outside @p known.
Core::Result<void> refuseUnknownFields(const Poco::JSON::Object &object, const std::vector<std::string> &known);

/// JSON text of an object on one line.
std::string jsonLine(const Poco::JSON::Object &object);

/// A JSON object with one error, as every stand-in answers a refused request.
std::string jsonError(const Core::Error &error);

}
