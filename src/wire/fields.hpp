#pragma once

// Fields of JSON objects, read with one error that names the field and what was wanted.

#include <rapidjson/document.h>

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace thistlefold::wire {

/// Something that can't be read as its page says; the text names the field or the offset.
struct ParseError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

using rapidjson::Value;

std::string_view text(const Value& value);
[[noreturn]] void failField(const char* field, const char* wanted);

// A field that is null counts as absent. All throw ParseError.
const Value* find(const Value& fields, const char* name);
const Value& requireField(const Value& fields, const char* name);
double asNumber(const Value& value, const char* name);
double number(const Value& fields, const char* name);
double number(const Value& fields, const char* name, double absent);
int integer(const Value& fields, const char* name, std::optional<int> absent = std::nullopt);
bool flag(const Value& fields, const char* name);
std::string_view name(const Value& fields, const char* field);
std::string_view name(const Value& fields, const char* field, std::string_view absent);
const Value& object(const Value& fields, const char* field);
const Value& array(const Value& fields, const char* field);
double element(const Value& list, rapidjson::SizeType index, const char* field, double absent);
std::uint32_t exchangeId(const Value& fields);

}  // namespace thistlefold::wire
