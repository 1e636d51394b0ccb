#pragma once

// Typed access to the fields of JSON objects. Each error names the field and what was expected there.

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace thistlefold::wire {

/// Input that violates its documented format. The text names the field or the offset.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// A JSON value of any type.
using rapidjson::Value;

/// The characters of a JSON string. The view is valid as long as `value` is; so are all views and references below.
std::string_view text(const Value& value);
/// Throws a ParseError that names the field and the problem with it.
[[noreturn]] void failField(const char* field, const char* problem);

// The functions below read a field of the object `fields`, which has to be a JSON object. A field that is null counts
// as absent. Except find(), all throw ParseError if the field has the wrong type, or if it is absent and there is no
// default.

/// The field, or null if it is absent.
const Value* find(const Value& fields, const char* name);
/// The field; throws ParseError if it is absent.
const Value& requireField(const Value& fields, const char* name);
/// The finite number in `value`; `name` is the field that an error names. Throws ParseError if it is no number.
double asNumber(const Value& value, const char* name);
/// A finite number.
double number(const Value& fields, const char* name);
double number(const Value& fields, const char* name, double defaultValue);
/// A whole number of magnitude up to 2e9. Without a default the field is required.
int integer(const Value& fields, const char* name, std::optional<int> defaultValue = std::nullopt);
/// A boolean; false if the field is absent.
bool flag(const Value& fields, const char* name);
/// A string.
std::string_view name(const Value& fields, const char* field);
std::string_view name(const Value& fields, const char* field, std::string_view defaultValue);
/// An object; empty if the field is absent.
const Value& object(const Value& fields, const char* field);
/// An array; empty if the field is absent.
const Value& array(const Value& fields, const char* field);
/// The finite number at `index` of the array `list`, or the default if the array is shorter. `field` is the field that
/// an error names. Throws ParseError if the element is no number.
double element(const Value& list, rapidjson::SizeType index, const char* field, double defaultValue);
/// The field "Exchange", which is required: the id of an exchange, below 2^32.
std::uint32_t exchangeId(const Value& fields);

}  // namespace thistlefold::wire
