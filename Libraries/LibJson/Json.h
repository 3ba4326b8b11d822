/// @file Bounded reading of JSON objects from other programs, and JSON text on one line.
#pragma once

#include "LibCore/Error.h"

#include <Poco/JSON/Object.h>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Json {

/// Largest magnitude of a number, so that conversions to integers of 64 bits cannot overflow.
inline constexpr double MaximumNumber = 1e15;

/// Parses one object; fails with InvalidInput when it is malformed, nested too deep, not an object or has too many values.
Core::Result<Poco::JSON::Object::Ptr> parseObject(const std::string &text);

/// Each returns the value of a field, or fails with InvalidInput if the field is absent, has another type or is beyond MaximumNumber.
Core::Result<bool> flagOf(const Poco::JSON::Object &object, const std::string &field);
Core::Result<double> numberOf(const Poco::JSON::Object &object, const std::string &field);
Core::Result<std::string> textOf(const Poco::JSON::Object &object, const std::string &field);

/// Each returns the value of a field if it is present with the right type, and nothing otherwise. For records of other programs, whose other fields
/// remain usable.
std::optional<bool> optionalFlag(const Poco::JSON::Object &object, const std::string &field);
std::optional<double> optionalNumber(const Poco::JSON::Object &object, const std::string &field);
/// Accepts numbers from @p minimum to @p maximum.
std::optional<double> optionalNumberWithin(const Poco::JSON::Object &object, const std::string &field, double minimum, double maximum);
/// Accepts whole numbers from 0 to 2^64 - 1.
std::optional<std::uint64_t> optionalCount(const Poco::JSON::Object &object, const std::string &field);
/// Accepts whole numbers from 0 to 2^32 - 1.
std::optional<std::uint32_t> optionalCount32(const Poco::JSON::Object &object, const std::string &field);
std::optional<std::string> optionalText(const Poco::JSON::Object &object, const std::string &field);
/// Returns null if the field is absent or not an object.
Poco::JSON::Object::Ptr optionalObject(const Poco::JSON::Object &object, const std::string &field);
/**
 * What a field that should be a list holds.
 *
 * A list can restrict something, for example to the holders of keys. An absent field, an empty list and a list that cannot be read therefore mean different
 * things, and every reader has to decide about each of them.
 */
template <typename T>
struct List
{
    bool m_isPresent = false; ///< The field exists, whatever it holds.
    std::vector<T> m_items; ///< The elements of the right type.
    std::uint32_t m_unreadable = 0; ///< Number of other elements; 1 if the field holds no list.

    bool isComplete() const
    {
        return m_isPresent && m_unreadable == 0;
    }
};

/// Each returns a list of objects, of texts, or of whole numbers from 0 to 2^32 - 1.
List<Poco::JSON::Object::Ptr> objectsOf(const Poco::JSON::Object &object, const std::string &field);
List<std::string> textsOf(const Poco::JSON::Object &object, const std::string &field);
List<std::uint32_t> counts32Of(const Poco::JSON::Object &object, const std::string &field);

/// Fails with InvalidInput if the object has a field outside @p known.
Core::Result<void> refuseUnknownFields(const Poco::JSON::Object &object, const std::vector<std::string> &known);

/// Returns the JSON text of an object on one line, with a line break at its end.
std::string toLine(const Poco::JSON::Object &object);

/// Returns a JSON object with one error on one line, as sent in answer to a refused request.
std::string errorLine(const Core::Error &error);

}
